import type {
  DataCentre,
  GatewayUpstream,
  Instant,
  Millis,
  ServiceName,
  UpstreamId,
} from '../../model';

import { chooseUpstream, type Placement, type PlacementRequest } from './choose-upstream';
import { faultProbabilityAt, PRIOR_BELIEF, type EvidenceKind } from './fault-model';
import { UpstreamStats } from './upstream-stats';

/** Latency and length of a route's answers. */
export interface AnswerStats {
  readonly latency: Millis;
  readonly bytes: number;
}

/** What an answer is assumed to be like before any was seen. */
const INITIAL_ANSWER_MEANS: AnswerStats = { latency: 300, bytes: 4096 };
/** Weight of the newest answer in the running means. */
const NEWEST_ANSWER_WEIGHT = 0.05;
/** An answer is overdue after this many times the usual latency, and at least this long. */
const OVERDUE_LATENCY_RATIO = 3;
const MIN_OVERDUE_MS: Millis = 100;

/** What was seen of an upstream by some node, to be shared. */
export interface UpstreamObservation {
  readonly id: UpstreamId;
  readonly born: number;
  readonly evidence: EvidenceKind;
  /** Milliseconds since the attempt began. */
  readonly sentAgo: Millis;
}

/** How likely a node holds an upstream to be ill, to be told to others. */
export interface UpstreamBelief {
  readonly id: UpstreamId;
  readonly born: number;
  /** From 0 to 1. */
  readonly ill: number;
}

/** A service that had a request within this time is at work. */
const ACTIVE_SERVICE_WINDOW_MS: Millis = 2000;
/** At most one request in so many is used to cover an upstream. */
const REQUESTS_BETWEEN_COVERAGE_COUNT = 4;

/** The upstreams of one service and what this node knows of each. */
export class LoadBalancer {
  private readonly statsById = new Map<UpstreamId, UpstreamStats>();

  private allStats: readonly UpstreamStats[] = [];

  /** Requests since one was last used to cover an upstream. */
  private requestsSinceCoverage = 0;

  private lastPlacedAt: Instant = Number.NEGATIVE_INFINITY;

  /** What answers are usually like, by route, since a route's requests are alike. */
  private readonly meansByRoute = new Map<string, AnswerStats>();

  constructor(
    readonly name: ServiceName,
    private readonly dataCentre: DataCentre,
    private readonly minCoverageRatio: () => number,
    private readonly random: () => number,
  ) {}

  get size(): number {
    return this.allStats.length;
  }

  /** Slots of all upstreams. */
  get totalSlots(): number {
    return this.allStats.reduce((sum, { upstream }) => sum + upstream.slots, 0);
  }

  /** Slots that are expected to be of use: those of upstreams that take work and are well. */
  slots(now: Instant): number {
    return this.allStats.reduce(
      (sum, { upstream, belief }) =>
        sum +
        (upstream.state === 'ready' ? upstream.slots * (1 - faultProbabilityAt(belief, now)) : 0),
      0,
    );
  }

  all(): readonly UpstreamStats[] {
    return this.allStats;
  }

  put(upstream: GatewayUpstream, now: Instant): void {
    const known = this.statsById.get(upstream.id);
    if (known && known.upstream.born === upstream.born) known.upstream = upstream;
    else
      this.statsById.set(
        upstream.id,
        new UpstreamStats(
          upstream,
          now - this.lastPlacedAt > ACTIVE_SERVICE_WINDOW_MS ? undefined : now,
        ),
      );
    this.allStats = [...this.statsById.values()];
  }

  remove(id: UpstreamId): void {
    this.statsById.delete(id);
    this.allStats = [...this.statsById.values()];
  }

  /** `isOwner`: this node gets its share of the service's requests, and hears what others saw. */
  place(request: PlacementRequest, isOwner: boolean, now: Instant): Placement {
    this.lastPlacedAt = now;
    const placement = chooseUpstream(this.allStats, request, {
      now,
      dataCentre: this.dataCentre,
      isOwner,
      random: this.random,
      minCoverageRatio: this.minCoverageRatio(),
      coverageAllowed: this.requestsSinceCoverage >= REQUESTS_BETWEEN_COVERAGE_COUNT,
    });
    if (placement.kind === 'send') {
      this.requestsSinceCoverage = placement.why === 'cover' ? 0 : this.requestsSinceCoverage + 1;
    }
    return placement;
  }

  /** What this node believes of the upstreams that it knows something of. */
  beliefs(now: Instant): readonly UpstreamBelief[] {
    return this.allStats
      .filter(({ belief }) => belief !== PRIOR_BELIEF)
      .map(({ upstream, belief }) => ({
        id: upstream.id,
        born: upstream.born,
        ill: faultProbabilityAt(belief, now),
      }));
  }

  /** Takes what another node believes, where this one knows nothing. */
  adoptBelief({ id, born, ill }: UpstreamBelief, now: Instant): void {
    const stats = this.statsById.get(id);
    if (stats?.upstream.born === born) stats.adoptBelief(ill, now);
  }

  /** What an answer on a route usually takes. */
  meanLatency(route: string): Millis {
    return (this.meansByRoute.get(route) ?? INITIAL_ANSWER_MEANS).latency;
  }

  /** How long an answer's body on a route usually is. */
  meanBytes(route: string): number {
    return (this.meansByRoute.get(route) ?? INITIAL_ANSWER_MEANS).bytes;
  }

  overdueAfter(route: string): Millis {
    return Math.max(MIN_OVERDUE_MS, OVERDUE_LATENCY_RATIO * this.meanLatency(route));
  }

  /** Notes an answer's latency and length. */
  recordAnswer(stats: UpstreamStats, route: string, { latency, bytes }: AnswerStats): void {
    const meansByRoute = this.meansByRoute.get(route) ?? {
      latency: INITIAL_ANSWER_MEANS.latency,
      bytes,
    };
    stats.recordLatency(latency / Math.max(1, meansByRoute.latency));
    this.meansByRoute.set(route, {
      latency: meansByRoute.latency + (latency - meansByRoute.latency) * NEWEST_ANSWER_WEIGHT,
      bytes: meansByRoute.bytes + (bytes - meansByRoute.bytes) * NEWEST_ANSWER_WEIGHT,
    });
  }

  /** Takes what another node saw. */
  applyObservation({ id, born, evidence, sentAgo }: UpstreamObservation, now: Instant): void {
    const stats = this.statsById.get(id);
    if (!stats || stats.upstream.born !== born) return;
    stats.lastSentAt = Math.max(stats.lastSentAt, now - sentAgo);
    stats.applyEvidence(evidence, now);
  }
}
