import type { GatewayUpstream, Instant, Millis } from '../../model';
import { UpstreamTerms } from '../announcements';
import { PendingWork, SpeedEstimate } from '../cost';

import { QueueLimit } from './queue-limit';
import {
  failureProbability,
  faultProbabilityAt,
  updateBelief,
  PRIOR_BELIEF,
  type FaultBelief,
  type EvidenceKind,
} from './fault-model';
import { LearnedFaultRates, type ObservedState } from './learned-fault-rates';
import type { AttemptVerdict, InFlightRequest, ReportedLoad, SentRequest } from './attempt-facts';
import { PeerLoads, type PeerLoad } from './peer-loads';
import { upstreamKeyOf } from './upstream-key';

/** Weight, 0 to 1, of the newest latency in the exponential moving average. */
const NEWEST_LATENCY_WEIGHT = 0.25;

/** Weight, 0 to 1, of the newest report in the mean number of other nodes' requests. */
const NEWEST_REMOTE_WEIGHT = 0.1;

/**
 * Time in milliseconds for which an upstream that refused or did not answer a connection gets no
 * requests.
 */
const UNREACHABLE_AVOIDANCE_MS: Millis = 1000;
/** Time in milliseconds for which an upstream that shed a request gets no more. */
const BUSY_AVOIDANCE_MS: Millis = 150;

/** Statistics that one node keeps of one run of an upstream. */
export class UpstreamStats {
  belief: FaultBelief = PRIOR_BELIEF;

  /** The state that the last evidence showed; see `LearnedFaultRates`. */
  private observedState: ObservedState = 'unknown';

  /** Identifies the run of the upstream in messages between gateways. */
  readonly key: number;

  /** Latest known time at which any node sent the upstream a request; -Infinity if none did. */
  lastSentAt: Instant = Number.NEGATIVE_INFINITY;

  /** Latest time at which another node is known to have sent the upstream a request. */
  private lastPeersSentAt: Instant = Number.NEGATIVE_INFINITY;

  /** Time before which the upstream gets no requests. */
  private avoidedUntil: Instant = Number.NEGATIVE_INFINITY;

  /** Latest known time at which any node saw a failure of the upstream; -Infinity if none did. */
  lastFailedAt: Instant = Number.NEGATIVE_INFINITY;

  /**
   * Mean ratio of the upstream's latency to the mean latency of the same route at all upstreams.
   */
  latencyRatio = 1;

  /** Work of this node's requests in flight whose cost was estimated. */
  readonly work = new PendingWork();

  /** Ratio of the upstream's times to usual ones, for equal costs. */
  readonly speed = new SpeedEstimate();

  private isRegistrationLapsed = false;

  private readonly inFlightRequests = new Map<string, InFlightRequest>();

  /** Number of requests from other nodes that the upstream held at the time `at`. */
  private remoteLoad = { count: 0, at: 0 };

  private readonly peerLoads = new PeerLoads();

  private meanRemoteCount = 0;

  constructor(
    private entry: GatewayUpstream,
    /**
     * Time at which the upstream joined a service with recent requests; undefined if that had none.
     */
    readonly joinedAt: Instant | undefined,
    /** The terms that the upstream has announced. */
    readonly terms: UpstreamTerms = new UpstreamTerms(entry.id),
    /** The number of requests that the upstream queues before it rejects work. */
    readonly queueLimit: QueueLimit = new QueueLimit(),
    /** What is learned of the faults of the service's upstreams. */
    private readonly faultRates: LearnedFaultRates = new LearnedFaultRates(),
    /** Whether evidence changes the belief. */
    private readonly learnsFaults = true,
  ) {
    this.key = upstreamKeyOf(entry);
  }

  /** The latest entry of the upstream. */
  get upstream(): GatewayUpstream {
    return this.entry;
  }

  /** Latest reported time at which another node sent it a request; -Infinity if none is. */
  get peersSentAt(): Instant {
    return this.lastPeersSentAt;
  }

  /** Takes in that another node sent the upstream a request at this time. */
  recordPeerUse(sentAt: Instant): void {
    this.lastPeersSentAt = Math.max(this.lastPeersSentAt, sentAt);
    this.lastSentAt = Math.max(this.lastSentAt, sentAt);
  }

  /** Takes in how many requests another node, identified by `sender`, has in flight here. */
  recordPeerLoad(sender: number, inFlight: number, now: Instant): void {
    this.peerLoads.record(sender, inFlight, now);
  }

  /** Returns the numbers of requests that other owners report in flight here, with their age. */
  peerLoad(now: Instant): readonly PeerLoad[] {
    return this.peerLoads.at(now);
  }

  /** Whether the registration has lapsed; the upstream may be gone, or may register again. */
  get isLapsed(): boolean {
    return this.isRegistrationLapsed;
  }

  /** Replaces the entry by a later one of the same run. */
  register(entry: GatewayUpstream): void {
    this.entry = entry;
    this.isRegistrationLapsed = false;
  }

  lapse(): void {
    this.isRegistrationLapsed = true;
  }

  /** Number of this node's requests in flight at the upstream. */
  get inFlight(): number {
    return this.inFlightRequests.size;
  }

  /**
   * Returns the estimated number of requests that the upstream holds from all nodes. The reported
   * share of other nodes decays with `meanLatency` as its time constant.
   */
  load(now: Instant, meanLatency: Millis): number {
    const { count, at } = this.remoteLoad;
    return this.inFlightRequests.size + count * Math.exp(-(now - at) / Math.max(1, meanLatency));
  }

  /** Total size in bytes of the bodies of this node's requests in flight at the upstream. */
  get bodyBytesInFlight(): number {
    let sum = 0;
    this.inFlightRequests.forEach(({ bodyBytes }) => {
      sum += bodyBytes;
    });
    return sum;
  }

  /**
   * Returns the expected number of requests at the upstream. Unlike in `load`, what other nodes have
   * there tends to its mean, not to 0. Load pattern: many gateways share the upstreams, and each
   * hears of most of them less often than their load changes.
   */
  expectedLoad(now: Instant, decayTime: Millis): number {
    const { count, at } = this.remoteLoad;
    const mean = this.meanRemoteCount;
    const remote = mean + (count - mean) * Math.exp(-(now - at) / Math.max(1, decayTime));
    return this.inFlightRequests.size + remote;
  }

  /** Records a request sent now. */
  attemptStarted(
    requestId: string,
    now: Instant,
    overdueAt: Instant,
    { meanLatency = 0, bodyBytes = 0, pending }: Partial<SentRequest> = {},
  ): void {
    const { slots } = this.entry;
    const level = this.load(now, meanLatency) + 1 - slots;
    const ownLevel = this.inFlightRequests.size + 1 - slots;
    this.inFlightRequests.set(requestId, { startedAt: now, overdueAt, level, ownLevel, bodyBytes });
    if (pending) this.work.start(requestId, pending);
    this.lastSentAt = now;
    this.terms.recordSend(now);
  }

  /** Returns the number of this node's requests whose answers are overdue. */
  overdueCount(now: Instant): number {
    let count = 0;
    this.inFlightRequests.forEach(({ overdueAt }) => {
      if (now >= overdueAt) count += 1;
    });
    return count;
  }

  attemptEnded(requestId: string): void {
    this.inFlightRequests.delete(requestId);
    this.work.end(requestId);
  }

  /**
   * Learns from whether the upstream took one of this node's requests in flight. Where it reports
   * its load, that replaces the estimate at the time of sending.
   */
  recordTaken(
    requestId: string,
    refused: boolean,
    reported: ReportedLoad | undefined,
    now: Instant,
  ): void {
    const sent = this.inFlightRequests.get(requestId);
    if (!sent) return;
    this.queueLimit.record({ level: this.queueLevel(sent, refused, reported), refused }, now);
  }

  private queueLevel(
    sent: InFlightRequest,
    refused: boolean,
    reported: ReportedLoad | undefined,
  ): number {
    if (!reported) return sent.level;
    // The report with a refusal leaves out the refused request; with an answer, it shows requests
    // that were queued since.
    return refused
      ? reported.running + reported.waiting + 1 - this.entry.slots
      : Math.max(reported.waiting, sent.ownLevel);
  }

  /** Records the numbers of requests, this node's included, that the upstream reports. */
  recordReportedLoad(running: number, waiting: number, now: Instant): void {
    const count = Math.max(0, running + waiting - this.inFlightRequests.size);
    this.remoteLoad = { count, at: now };
    this.meanRemoteCount += (count - this.meanRemoteCount) * NEWEST_REMOTE_WEIGHT;
  }

  /**
   * Returns whether the upstream gets no requests because it recently shed one or was unreachable.
   */
  isAvoided(now: Instant): boolean {
    return now < this.avoidedUntil;
  }

  /** Returns the probability, from 0 to 1, that the upstream is faulty at `now`. */
  faultProbability(now: Instant): number {
    return faultProbabilityAt(this.belief, now, this.faultRates.current);
  }

  /** Returns the age of the newest evidence in milliseconds; undefined without any. */
  evidenceAge(now: Instant): Millis | undefined {
    return this.belief === PRIOR_BELIEF ? undefined : now - this.belief.at;
  }

  /** Returns the probability, from 0 to 1, that a request sent at `now` fails. */
  failureProbability(now: Instant): number {
    return failureProbability(this.belief, now, this.faultRates.current);
  }

  applyEvidence(evidence: EvidenceKind, now: Instant): void {
    if (evidence === 'failed-early' || evidence === 'failed-late') this.lastFailedAt = now;
    if (!this.learnsFaults) return;
    const before = this.belief;
    const after = updateBelief(before, evidence, now, this.faultRates.current);
    this.belief = after;
    this.observedState = this.faultRates.record(evidence, {
      before,
      after,
      state: this.observedState,
    });
  }

  /**
   * Sets the fault probability, 0 to 1, to another node's estimate if this node has no evidence.
   */
  adoptBelief(faultProbability: number, now: Instant): void {
    if (this.learnsFaults && this.belief === PRIOR_BELIEF)
      this.belief = { faultProbability, at: now };
  }

  /** Applies the conclusion from an attempt that has ended. */
  applyVerdict(verdict: AttemptVerdict, now: Instant): void {
    switch (verdict.kind) {
      case 'evidence':
        this.applyEvidence(verdict.evidence, now);
        return;
      case 'busy':
        this.avoidedUntil = now + BUSY_AVOIDANCE_MS;
        return;
      case 'unreachable':
        this.avoidedUntil = now + UNREACHABLE_AVOIDANCE_MS;
        break;
      case 'none':
    }
  }

  /** Records the ratio of an answer's latency to the mean latency of its route. */
  recordLatency(ratio: number): void {
    this.latencyRatio += (ratio - this.latencyRatio) * NEWEST_LATENCY_WEIGHT;
  }
}
