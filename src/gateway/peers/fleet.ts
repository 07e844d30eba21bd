import { randomBytes } from 'node:crypto';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

import { guarded } from '../../adapters/guarded';
import { capacityOf, type HostGroups } from '../../core/gateway';
import { LIMIT_HOLDS, type LostHolds } from '../../core/announcements';
import type { ServiceReport } from '../../core/evidence';
import { decodeMembershipMessage, Membership, type MembershipEvent } from '../../core/membership';
import type { EvidenceKind, UpstreamStats } from '../../core/placement';
import type {
  DataCentre,
  GatewayConfig,
  Incarnation,
  Instant,
  Member,
  Millis,
  ServiceName,
  FeedPositions,
} from '../../model';

import type { GatewayContext } from '../context';
import { CrashExchange } from './crash-exchange';
import { DATAGRAM_VERSION, type PeerTopic } from './datagram';
import { EvidenceExchange } from './evidence-exchange';
import { FreshnessExchange } from './freshness-exchange';
import type { FreshnessPorts } from './freshness-ports';
import { LimitSharing } from './limit-sharing';
import { PathExchange } from './path-exchange';
import { DatagramLink } from './peer-link';
import { QuotaExchange } from './quota-exchange';
import { ServiceOwners } from './service-owners';
import type { ServiceScheduler } from '../scheduling/service-scheduler';

/** Functions of the gateway that its fleet calls. */
export interface FleetService extends Omit<FreshnessPorts, 'self' | 'members'> {
  /** Returns how far this gateway has read the store's feeds; sent along with every datagram. */
  feedPositions(): FeedPositions;
  /** Takes in how far a peer has read the feeds. */
  onPeerPositions(positions: FeedPositions): void;
  /** Receives the members when they have changed; `self` is this gateway's incarnation. */
  onMembers(self: Incarnation, members: readonly Member[]): void;
  /** Returns the configuration in force; undefined until one is known. */
  config(): GatewayConfig | undefined;
  /** Returns the groups of hosts with the same owners; undefined until a configuration is known. */
  hostGroups(): HostGroups | undefined;
  /** Returns the schedulers in use, by service name. */
  schedulers(): ReadonlyMap<ServiceName, ServiceScheduler>;
}

/** Interval in milliseconds at which the membership protocol receives a tick. */
const MEMBERSHIP_TICK_MS: Millis = 50;
/** Time in milliseconds allowed for a gateway to discover the other members after it has joined. */
const STARTUP_SETTLE_MS: Millis = 800;
/**
 * Holds of the shares of a retry budget; parts of the fleet may lose each other for minutes and go
 * on sending.
 */
const RETRY_HOLDS: LostHolds = { lost: 600_000, mostLost: 600_000 };
/** Random bytes that seed the membership's random number generator. */
const SEED_BYTES = 4;
/** Random bytes of the id that tells one run of this process from its other runs. */
const INCARNATION_BYTES = 6;

/**
 * Connects this gateway to the others: tracks the members and the owners of each service, and
 * exchanges observations and beliefs about upstreams with them. The owners of a service are the
 * gateways that the directory names to callers of its hosts.
 */
export class Fleet {
  private readonly link: DatagramLink;

  private readonly membership: Membership;

  private readonly evidence: EvidenceExchange;

  /** Identifies this run of the process. */
  private readonly incarnation: Incarnation = randomBytes(INCARNATION_BYTES).toString('hex');

  private members: readonly Member[] = [];

  private readonly owners: ServiceOwners;

  /** Tells the hosts that share the limits which upstreams announce. */
  readonly limitSharing: LimitSharing;

  /** Tells the hosts that share the fixed part of a retry budget. */
  private readonly retrySharing: LimitSharing;

  /** Knows the gateways that have no path to the upstreams. */
  readonly paths: PathExchange;

  /** Knows the requests that crash upstreams. */
  readonly crashes: CrashExchange;

  /** Knows whether this gateway's keys are the store's. */
  readonly freshness: FreshnessExchange;

  /** Counts the requests of workspaces against their quotas. */
  readonly quotas: QuotaExchange;

  /** Receivers of the bodies of datagrams, which they have to check. */
  private readonly handlers: Readonly<Record<PeerTopic, (body: unknown) => void>> = {
    membership: (body) => this.onMembershipMessage(body),
    sightings: (body) => this.evidence.onObservations(body),
    reports: (body) => this.evidence.onReport(body as ServiceReport),
    beliefs: (body) => this.evidence.onBeliefs(body),
    crashes: (body) => this.crashes.onMessage(body),
    paths: (body) => this.paths.onMessage(body),
    quotas: (body) => this.quotas.onMessage(body),
    freshness: (body) => this.freshness.onMessage(body),
  };

  private tickTimer: NodeJS.Timeout | undefined;

  /** Until this time, a gateway that knows no other member gives callers no addresses. */
  private settledAt: Instant = 0;

  constructor(
    private readonly context: GatewayContext,
    private readonly service: FleetService,
  ) {
    const { settings, clock, telemetry } = context;
    this.owners = new ServiceOwners(context, this.incarnation, {
      hostGroups: () => service.hostGroups(),
      isPathCut: (incarnation) => this.paths.isCut(incarnation),
      isRefusingKeys: () => this.freshness.isRefusing(),
    });
    const sharingWith = (holds: LostHolds): LimitSharing =>
      new LimitSharing(
        context,
        (name) => this.owners.of(name),
        () => this.members,
        holds,
      );
    this.limitSharing = sharingWith(LIMIT_HOLDS);
    this.retrySharing = sharingWith(RETRY_HOLDS);
    this.link = new DatagramLink(telemetry, {
      feedPositions: () => service.feedPositions(),
      onPeerPositions: (positions) => service.onPeerPositions(positions),
      onMessage: (topic, body) => {
        this.quotas.onContact();
        this.handlers[topic](body);
      },
    });
    this.membership = Membership.start(
      {
        incarnation: this.incarnation,
        dataCentre: settings.dataCentre,
        capacity: capacityOf(settings.limits),
        address: settings.listen.callers.address,
        callerPort: settings.listen.callers.port,
        peerPort: settings.listen.peers.port,
        datagramVersion: DATAGRAM_VERSION,
      },
      clock.now(),
      xoroshiro128plus(randomBytes(SEED_BYTES).readInt32LE(0)),
    );
    this.crashes = new CrashExchange(context, this.link);
    this.quotas = new QuotaExchange(context, this.incarnation, this.link, () => service.config());
    this.paths = new PathExchange(context, this.incarnation, this.link, () =>
      this.recomputeOwners(),
    );
    this.freshness = new FreshnessExchange(context, this.link, {
      self: this.incarnation,
      members: () => this.members,
      revocationTime: () => service.revocationTime(),
      source: () => service.source(),
      readsAtStore: () => service.readsAtStore(),
      readStore: () => service.readStore(),
    });
    this.evidence = new EvidenceExchange(context, this.incarnation, this.link, {
      otherOwners: (name) => this.owners.othersOf(name),
      schedulers: () => service.schedulers(),
    });
  }

  /** Whether this gateway has joined the membership. */
  get isJoined(): boolean {
    return this.tickTimer !== undefined;
  }

  /** Binds the UDP socket for datagrams from peers. */
  listen(): Promise<void> {
    return this.link.listen(this.context.settings.listen.peers);
  }

  /** Joins the membership; calls after the first have no effect. */
  join(): void {
    if (this.tickTimer) return;
    this.settledAt = this.context.clock.now() + STARTUP_SETTLE_MS;
    this.tickTimer = setInterval(
      guarded('fleet timer', () => this.applyEvent({ kind: 'tick' })),
      MEMBERSHIP_TICK_MS,
    );
    this.quotas.onJoined();
    this.applySeeds();
  }

  /** Passes the seed addresses of the settings to the membership. */
  applySeeds(): void {
    const { seeds, listen: ports } = this.context.settings;
    this.applyEvent({
      kind: 'host-list',
      hosts: seeds.map((address) => ({
        address,
        callerPort: ports.callers.port,
        peerPort: ports.peers.port,
        leaving: false,
      })),
    });
  }

  /** Announces to the other members that this gateway takes no new callers. */
  leave(): void {
    this.applyEvent({ kind: 'leave' });
  }

  /** Announces to the other members that this process ends, and closes the link to them. */
  stop(): void {
    this.applyEvent({ kind: 'stop' });
    clearInterval(this.tickTimer);
    this.evidence.close();
    this.crashes.close();
    this.quotas.close();
    this.paths.close();
    this.freshness.close();
    this.link.close();
  }

  /** Returns the addresses that callers of `host` should connect to, as `ip:port`. */
  addressesFor(dataCentre: DataCentre, host: string): readonly string[] {
    // Until it has discovered the other members, it would send all callers to itself.
    const isAlone = this.members.length <= 1;
    if (isAlone && this.context.clock.now() < this.settledAt) return [];
    const group = this.service.hostGroups()?.ofHost(host.toLowerCase());
    if (!group) return [];
    return this.owners
      .forCallers(dataCentre, group)
      .map(({ address, callerPort }) => `${address}:${callerPort}`);
  }

  /** Whether this gateway owns the service. */
  isOwnerOf(service: ServiceName): boolean {
    return this.owners.isOwnerOf(service);
  }

  /** Returns the gateways that a request of the service may be passed on to, the best first. */
  relayPeersOf(service: ServiceName): readonly Member[] {
    return this.owners.relayPeersOf(service);
  }

  /**
   * Returns the number of gateways that share the fixed part of a service's retry budget, this one
   * included; 0 if it has no share.
   */
  retryBudgetSharersOf(service: ServiceName): number {
    return this.retrySharing.hostsOf(service, this.context.clock.now()).sharers;
  }

  /**
   * Queues an observation of an upstream for the other owners; `sentAt` is when its attempt began.
   */
  reportObservation(
    service: ServiceName,
    stats: UpstreamStats,
    evidence: EvidenceKind,
    sentAt: Instant,
  ): void {
    this.evidence.report(service, stats, evidence, sentAt);
  }

  /**
   * Returns the most urgent priority of the service that other owners report as waiting or refused
   * in the last half second; undefined if none is reported.
   */
  mostUrgentWaitingAtPeers(service: ServiceName, now: Instant): number | undefined {
    return this.evidence.mostUrgentWaitingAtPeers(service, now);
  }

  /**
   * Determines the owners again after a change of the members, routes or upstreams, and asks new
   * owners for their beliefs.
   */
  recomputeOwners(): void {
    this.owners.clear();
    this.quotas.onConfig();
    this.service.schedulers().forEach(({ name }) => {
      const isOwner = this.isOwnerOf(name);
      if (isOwner !== this.evidence.hasAsked(name)) {
        this.context.telemetry.event(isOwner ? 'owners-joined' : 'owners-left', {
          service: name,
          owners: this.owners.of(name).length,
          members: this.members.length,
        });
      }
      this.limitSharing.update(name);
      this.retrySharing.update(name);
      if (isOwner) this.evidence.requestBeliefs(name);
      else this.evidence.forget(name);
    });
  }

  /** Forgets a service that is not used any more. */
  forgetService(service: ServiceName): void {
    this.limitSharing.forget(service);
    this.retrySharing.forget(service);
    this.evidence.forgetService(service);
  }

  private onMembershipMessage(body: unknown): void {
    // A gateway that answers before it has joined would be taken for a member.
    if (!this.isJoined) return;
    decodeMembershipMessage(body).caseOf({
      Left: (err) => this.context.telemetry.count('datagrams_refused', { reason: err.kind }),
      Right: (message) => this.applyEvent({ kind: 'message', message }),
    });
  }

  /** Applies an event to the membership and carries out its effects. */
  private applyEvent(event: MembershipEvent): void {
    this.membership.apply(event, this.context.clock.now()).effects.forEach((effect) => {
      switch (effect.kind) {
        case 'send':
          this.link.send(effect.to, 'membership', effect.message);
          return;
        case 'changed':
          this.members = effect.members;
          this.owners.setMembers(this.members);
          this.paths.onMembers(this.members);
          this.recomputeOwners();
          this.crashes.onMembers(this.members);
          this.quotas.onMembers(this.members);
          this.service.onMembers(this.incarnation, this.members);
      }
    });
  }
}
