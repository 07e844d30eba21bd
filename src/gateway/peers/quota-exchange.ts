import { guarded } from '../../adapters/guarded';
import {
  HostQuotas,
  quotaTermsOf,
  type LeasedToken,
  type QuotaEvent,
  type TokenDecision,
} from '../../core/quota';
import type {
  GatewayConfig,
  GatewayWorkspace,
  Incarnation,
  Instant,
  Member,
  Millis,
  WorkspaceName,
  WorkspaceQuota,
} from '../../model';

import type { GatewayContext } from '../context';
import { DATAGRAM_VERSION } from './datagram';
import type { DatagramLink } from './peer-link';
import { decodeQuotaMessage, encodeQuotaMessage } from './quota-message';
import type { QuotaDecision, QuotaGate } from '../arriving/workspace-access';

/** Longest time in milliseconds that a request waits for a token, whatever its objective. */
const MAX_TOKEN_WAIT_MS: Millis = 300;
/** Interval in milliseconds at which this host checks which partitions it is the allocator of. */
const TICK_MS: Millis = 250;
/** Retry-After in milliseconds until this gateway has joined the fleet. */
const NOT_JOINED_RETRY_AFTER_MS: Millis = 300;
/**
 * Time in milliseconds by which the wall clock may gain on the monotonic one before the host counts
 * as suspended meanwhile: the monotonic clock stands still then, and tokens seem younger.
 */
const SUSPENSION_MS: Millis = 100;
/** Bound of the numbers of this host's first request for tokens. */
const FIRST_SEQ_LIMIT = 2 ** 31;

/**
 * Counts the requests of workspaces with a quota, for which it exchanges tokens with the other
 * gateways. Sends nothing and has no timers while the configuration has no such workspace.
 */
export class QuotaExchange implements QuotaGate {
  private host: HostQuotas | undefined;

  private members: readonly Member[] = [];

  private quotas: ReadonlyMap<WorkspaceName, WorkspaceQuota> = new Map();

  /** The configuration that `quotas` comes from. */
  private quotasOf: GatewayConfig | undefined;

  private contactAt: Instant = Number.NEGATIVE_INFINITY;

  private joinedAt: Instant | undefined;

  private tickTimer: NodeJS.Timeout | undefined;

  private wakeTimer: NodeJS.Timeout | undefined;

  private wakeAt: Instant = Number.POSITIVE_INFINITY;

  /** Lead of the wall clock over the monotonic one, at the last check. */
  private wallLead: Millis;

  constructor(
    private readonly context: GatewayContext,
    private readonly incarnation: Incarnation,
    private readonly link: Pick<DatagramLink, 'send'>,
    /** Returns the configuration in force. */
    private readonly config: () => GatewayConfig | undefined,
  ) {
    const { clock } = context;
    this.wallLead = clock.wall() - clock.now();
  }

  /** Takes a token for a request; at once if this host has one or knows that there is none. */
  take(workspace: GatewayWorkspace, maxWait: Millis): Promise<QuotaDecision> {
    const { host } = this;
    if (!host) {
      return Promise.resolve({ kind: 'unavailable', retryAfter: NOT_JOINED_RETRY_AFTER_MS });
    }
    const now = this.checkedNow(host);
    const deadline = now + Math.min(maxWait, MAX_TOKEN_WAIT_MS);
    return new Promise((resolve) => {
      host.request(workspace.name, now, deadline, (decision) => {
        this.count(decision);
        resolve(decision);
      });
      this.schedule(now);
    });
  }

  /** Gives back the token of a request that has not run and never will. */
  giveBack(workspace: GatewayWorkspace, token: LeasedToken): void {
    if (!this.host) return;
    const now = this.checkedNow(this.host);
    this.host.giveBack(workspace.name, token, now);
    this.schedule(now);
  }

  /** Records that this gateway has joined the fleet. */
  onJoined(): void {
    this.joinedAt ??= this.context.clock.now();
    this.onConfig();
  }

  /** Takes in the configuration in force; starts to exchange tokens if a workspace has a quota. */
  onConfig(): void {
    const config = this.config();
    if (config !== this.quotasOf) {
      this.quotasOf = config;
      this.quotas = new Map(
        [...(config?.workspacesByKey?.values() ?? [])].flatMap(({ name, quota }) =>
          quota ? [[name, quota] as const] : [],
        ),
      );
    }
    if (this.host || this.joinedAt === undefined || this.quotas.size === 0) return;
    this.start(this.joinedAt);
  }

  /** Takes in the members, this gateway included. */
  onMembers(members: readonly Member[]): void {
    this.members = members;
    this.host?.onMembers(members, this.context.clock.now());
  }

  /** Records that a datagram of a peer has arrived, of whichever topic. */
  onContact(): void {
    this.contactAt = this.context.clock.now();
    this.host?.onContact(this.contactAt);
  }

  /** Takes in a message of topic `quotas`. */
  onMessage(body: unknown): void {
    const message = decodeQuotaMessage(body);
    if (!message) {
      this.context.telemetry.count('datagrams_refused', { reason: 'quotas' });
      return;
    }
    if (!this.host) return;
    const now = this.checkedNow(this.host);
    this.host.onMessage(message, now);
    this.schedule(now);
  }

  close(): void {
    clearInterval(this.tickTimer);
    clearTimeout(this.wakeTimer);
    this.host = undefined;
  }

  private start(joinedAt: Instant): void {
    const { settings, telemetry, clock, random } = this.context;
    const { address, port: peerPort } = settings.listen.peers;
    const { incarnation } = this;
    this.host = new HostQuotas(
      {
        incarnation,
        dataCentre: settings.dataCentre,
        address,
        peerPort,
        datagramVersion: DATAGRAM_VERSION,
      },
      quotaTermsOf(settings.dataCentres, settings.bounds),
      {
        quotaOf: (workspace) => this.quotas.get(workspace),
        send: (to, message) => {
          telemetry.count('quota_datagrams_sent', { kind: message.kind });
          this.link.send(to, 'quotas', encodeQuotaMessage(message));
        },
        onEvent: (event) => this.log(event),
      },
      joinedAt,
      Math.floor(random() * FIRST_SEQ_LIMIT),
    );
    telemetry.event('quotas-started', { workspaces: this.quotas.size });
    this.host.onContact(Math.max(joinedAt, this.contactAt));
    this.host.onMembers(this.members, clock.now());
    this.tickTimer = setInterval(
      guarded('quota-exchange timer', () => this.advance()),
      TICK_MS,
    );
  }

  private advance(): void {
    if (!this.host) return;
    const now = this.checkedNow(this.host);
    this.wakeAt = Number.POSITIVE_INFINITY;
    this.host.advance(now);
    this.schedule(now);
  }

  /** Sets the timer for what is due next at this host. */
  private schedule(now: Instant): void {
    const wakeAt = this.host?.wakeAt ?? Number.POSITIVE_INFINITY;
    if (wakeAt >= this.wakeAt) return;
    this.wakeAt = wakeAt;
    clearTimeout(this.wakeTimer);
    this.wakeTimer = setTimeout(
      guarded('quota-exchange timer', () => this.advance()),
      Math.max(0, Math.ceil(wakeAt - now)),
    );
  }

  /** Returns the time now; drops the tokens if this host was suspended meanwhile. */
  private checkedNow(host: HostQuotas): Instant {
    const { clock, telemetry } = this.context;
    const now = clock.now();
    const wallLead = clock.wall() - now;
    const gained = wallLead - this.wallLead;
    this.wallLead = wallLead;
    if (gained > SUSPENSION_MS) {
      host.dropTokens();
      telemetry.event('quota-tokens-dropped', { clockGainMs: Math.round(gained) });
    }
    return now;
  }

  private count({ kind }: TokenDecision): void {
    this.context.telemetry.count('quota_decisions', { decision: kind });
  }

  private log(event: QuotaEvent): void {
    const { telemetry } = this.context;
    telemetry.count('quota_changes', { to: event.kind });
    switch (event.kind) {
      case 'allocator-started':
      case 'allocator-stopped':
        telemetry.event(`quota-${event.kind}`, { partition: event.partition });
        return;
      case 'allocator-silent':
      case 'allocator-answers':
        telemetry.event(`quota-${event.kind}`, { address: event.member.address });
        return;
      case 'isolated':
      case 'connected':
        telemetry.event(`quota-${event.kind}`, { members: this.members.length });
    }
  }
}
