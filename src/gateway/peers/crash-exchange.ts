import { guarded } from '../../adapters/guarded';
import {
  CrashTable,
  trialHostOf,
  type RequestDigest,
  type RequestRecord,
  type RequestStanding,
} from '../../core/crashes';
import type { Member, Millis } from '../../model';

import type { GatewayContext } from '../context';
import {
  createCrashMessages,
  decodeCrashMessage,
  fromNews,
  type CrashMessage,
} from './crash-message';
import { DATAGRAM_VERSION } from './datagram';
import type { CallerRequest } from '../request/caller-request';
import type { PeerAddress } from './peer-address';
import type { DatagramLink } from './peer-link';
import { digestOf } from '../request/request-digest';

/** Interval in milliseconds at which records are repeated to peers, as datagrams may be lost. */
const REPEAT_INTERVAL_MS: Millis = 1000;
/** Number of peers drawn at random that get the records at each interval. */
const REPEAT_PEER_COUNT = 3;
/** Number of records that are repeated at each interval. */
const MAX_REPEATED_COUNT = 16;
/** Number of records that a peer is told when it asks, the last changed ones. */
const MAX_TOLD_COUNT = 64;
/** Number of peers that are asked for their records when others become known. */
const ASKED_PEER_COUNT = 3;

const CLEAR: RequestStanding = { kind: 'clear' };

/**
 * Knows which requests crash upstreams, and shares it with all other gateways: a crash or a release
 * at once, and again at intervals to some of them.
 */
export class CrashExchange {
  private readonly table = new CrashTable();

  private readonly digests = new WeakMap<CallerRequest, RequestDigest>();

  private peers: readonly Member[] = [];

  /** Whether some peers have been asked for their records. */
  private hasAsked = false;

  private timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly context: GatewayContext,
    private readonly link: Pick<DatagramLink, 'send'>,
  ) {}

  /** Returns how a request may be handled now. */
  standingOf(request: CallerRequest): RequestStanding {
    if (this.table.size === 0) return CLEAR;
    const digest = this.digestOf(request);
    return this.table.standingOf(digest, this.context.clock.now(), () => this.isTrialHost(digest));
  }

  /** Records that a held request has come again. */
  recordRefusal(request: CallerRequest): void {
    this.context.telemetry.count('crashing_requests_refused');
    this.table.touch(this.digestOf(request), this.context.clock.now());
  }

  /** Records that a held request is sent for a trial. */
  recordTrial(request: CallerRequest): void {
    const digest = this.digestOf(request);
    this.context.telemetry.event('crashing-request-tried', { request: request.id, digest });
    this.table.startTrial(digest, this.context.clock.now());
  }

  /** Records that a run of an upstream crashed while it ran the request, and tells the others. */
  recordCrash(
    request: CallerRequest,
    upstream: { readonly id: string; readonly born: number },
  ): void {
    const crashedAt = this.context.clock.now();
    const crash = { upstream: upstream.id, born: upstream.born, crashedAt };
    const digest = this.digestOf(request);
    this.publish({ digest, crashes: [crash], answeredAt: Number.NEGATIVE_INFINITY });
  }

  /** Records a complete answer to a request; if that clears it, tells the others. */
  recordAnswer(request: CallerRequest): void {
    if (this.table.size === 0) return;
    const digest = this.digestOf(request);
    if (this.table.crashCount(digest) === 0) return;
    this.publish({ digest, crashes: [], answeredAt: this.context.clock.now() });
  }

  /** Takes in a message of topic `crashes`. */
  onMessage(body: unknown): void {
    const message = decodeCrashMessage(body);
    if (!message) {
      this.context.telemetry.count('datagrams_refused', { reason: 'crashes' });
      return;
    }
    const now = this.context.clock.now();
    switch (message.kind) {
      case 'told':
        message.requests.forEach((news) => this.merge(fromNews(news, now), 'peer'));
        return;
      case 'wanted':
        this.tell([message.from], this.table.records().slice(0, MAX_TOLD_COUNT));
    }
  }

  /** Takes in the other members; asks some of them for their records when the first are known. */
  onMembers(members: readonly Member[]): void {
    const { address, port: peerPort } = this.context.settings.listen.peers;
    this.peers = members.filter((member) => member.address !== address && member.state !== 'dead');
    if (this.hasAsked || this.peers.length === 0) return;
    this.hasAsked = true;
    const from = { address, peerPort, datagramVersion: DATAGRAM_VERSION };
    const message: CrashMessage = { kind: 'wanted', from };
    this.drawPeers(ASKED_PEER_COUNT).forEach((peer) => this.link.send(peer, 'crashes', message));
  }

  close(): void {
    clearInterval(this.timer);
  }

  private digestOf(request: CallerRequest): RequestDigest {
    const digest = this.digests.get(request) ?? digestOf(request);
    this.digests.set(request, digest);
    return digest;
  }

  private isTrialHost(digest: RequestDigest): boolean {
    const { address } = this.context.settings.listen.peers;
    const alive = this.peers.filter(({ state }) => state === 'alive');
    return trialHostOf(digest, [address, ...alive.map((peer) => peer.address)]) === address;
  }

  private publish(record: RequestRecord): void {
    if (this.merge(record, 'own')) this.tell(this.peers, [record]);
  }

  /** Merges a record, and logs if that changes how the request is handled. */
  private merge(record: RequestRecord, source: 'own' | 'peer'): boolean {
    const { digest } = record;
    const now = this.context.clock.now();
    const before = this.table.standingOf(digest, now).kind;
    if (!this.table.merge(record, now)) return false;
    this.timer ??= setInterval(
      guarded('crash-exchange timer', () => this.repeat()),
      REPEAT_INTERVAL_MS,
    );
    const after = this.table.standingOf(digest, now);
    if (after.kind === before) return true;
    this.context.telemetry.count('crashing_request_changes', { to: after.kind, source });
    this.context.telemetry.event(`crashing-request-${after.kind}`, {
      digest,
      crashes: this.table.crashCount(digest),
      upstreams: record.crashes.map(({ upstream }) => upstream).join(' '),
      ...(after.kind === 'held' && Number.isFinite(after.until)
        ? { nextTrialMs: Math.round(after.until - now) }
        : {}),
      source,
    });
    return true;
  }

  private tell(peers: readonly PeerAddress[], records: readonly RequestRecord[]): void {
    const messages = createCrashMessages(records, this.context.clock.now());
    peers.forEach((peer) =>
      messages.forEach((message) => this.link.send(peer, 'crashes', message)),
    );
  }

  private repeat(): void {
    const news = this.table.news(this.context.clock.now()).slice(0, MAX_REPEATED_COUNT);
    if (news.length > 0) this.tell(this.drawPeers(REPEAT_PEER_COUNT), news);
  }

  private drawPeers(count: number): readonly Member[] {
    const left = [...this.peers];
    const drawn: Member[] = [];
    while (drawn.length < count && left.length > 0) {
      drawn.push(...left.splice(Math.floor(this.context.random() * left.length), 1));
    }
    return drawn;
  }
}
