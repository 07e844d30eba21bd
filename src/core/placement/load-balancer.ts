import {
  NONE_DISABLED,
  type DataCentre,
  type DisabledMechanisms,
  type GatewayUpstream,
  type Instant,
  type Millis,
  type ServiceName,
  type UpstreamId,
} from '../../model';

import { fromLimitNews, toLimitNews, type LimitNews, type TermsChange } from '../announcements';

import { chooseUpstream, RECENT_USE_WINDOW_MS } from './choose-upstream';
import { PRIOR_BELIEF, type EvidenceKind } from './fault-model';
import { LearnedCosts } from './learned-costs';
import { LearnedFaultRates } from './learned-fault-rates';
import type { Placement, PlacementRequest } from './placement';
import { QueueLimit } from './queue-limit';
import { createTermsOfOneHost, type TermsSource } from './terms-source';
import { UpstreamStats } from './upstream-stats';

/** Latency and body length of one answer, or their means over a route's answers. */
export interface AnswerStats {
  /** Time in milliseconds from sending the request to the answer. */
  readonly latency: Millis;
  /** Length of the body in bytes. */
  readonly bytes: number;
}

/** Means assumed for a route without answers: 300 ms and 4096 bytes. */
const INITIAL_ANSWER_MEANS: AnswerStats = { latency: 300, bytes: 4096 };
/** Weight, 0 to 1, of the newest answer in a route's exponential moving averages. */
const NEWEST_ANSWER_WEIGHT = 0.05;
/** Multiple of a route's mean latency after which an answer is overdue. */
const OVERDUE_LATENCY_RATIO = 3;
/** Time in milliseconds before which no answer is overdue. */
const MIN_OVERDUE_MS: Millis = 100;

/** Evidence about an upstream from an attempt, ended or overdue, as told to other nodes. */
export interface UpstreamObservation {
  readonly id: UpstreamId;
  /** Identifies the run of the upstream that the evidence is about; see `GatewayUpstream.born`. */
  readonly born: number;
  readonly evidence: EvidenceKind;
  /** Milliseconds from the start of the attempt to this message. */
  readonly sentAgo: Millis;
  /** The limit that the upstream announces; absent if it never announced one. */
  readonly limit?: LimitNews | undefined;
}

/** A node's estimate that an upstream is faulty, as told to other nodes. */
export interface UpstreamBelief {
  readonly id: UpstreamId;
  /** Identifies the run of the upstream that the estimate is about; see `GatewayUpstream.born`. */
  readonly born: number;
  /** Probability, from 0 to 1, that the upstream is faulty. */
  readonly ill: number;
  /** The limit that the upstream announces; absent if it never announced one. */
  readonly limit?: LimitNews | undefined;
}

/** Time in milliseconds since its last request within which a service counts as active. */
const ACTIVE_SERVICE_WINDOW_MS: Millis = 2000;
/**
 * Number of other requests between two that are sent to upstreams because these had none recently.
 */
const REQUESTS_BETWEEN_COVERAGE_COUNT = 4;

/**
 * Difference by which the ratio of upstreams in use may fall further before requests that can't be
 * repeated cover unused ones too; a third of the margin above the floor is then left.
 */
const SPARED_COVERAGE_RATIO = 0.1;

/**
 * Holds the upstreams of one service with this node's statistics of each, and chooses among them.
 */
export class LoadBalancer {
  private readonly statsById = new Map<UpstreamId, UpstreamStats>();

  private allStats: readonly UpstreamStats[] = [];

  /** The statistics by key, undefined where two have the same; undefined after a change. */
  private statsByKey: ReadonlyMap<number, UpstreamStats | undefined> | undefined;

  /** Number of requests sent since the last one that was used for coverage (`why` is `cover`). */
  private requestsSinceCoverage = 0;

  /** When a request that may be retried was last placed. */
  private lastRetryableAt: Instant = Number.NEGATIVE_INFINITY;

  private lastPlacedAt: Instant = Number.NEGATIVE_INFINITY;

  /** The queue limit that those of the service's upstreams start from. */
  private readonly queueLimit = new QueueLimit();

  private readonly faultRates: LearnedFaultRates;

  /** Learns the costs of the service's requests. */
  readonly costs = new LearnedCosts();

  /** Mean answers by route name, since the requests of one route are alike. */
  private readonly meansByRoute = new Map<string, AnswerStats>();

  constructor(
    readonly name: ServiceName,
    private readonly dataCentre: DataCentre,
    private readonly minCoverageRatio: () => number,
    private readonly random: () => number,
    private readonly termsSource: TermsSource = createTermsOfOneHost(),
    private readonly disabled: DisabledMechanisms = NONE_DISABLED,
  ) {
    this.faultRates = new LearnedFaultRates(!disabled.has('learned-fault-rates'));
  }

  get size(): number {
    return this.allStats.length;
  }

  /** Number of slots of all upstreams, whatever their state. */
  get totalSlots(): number {
    return this.allStats.reduce((sum, { upstream }) => sum + upstream.slots, 0);
  }

  /**
   * Returns the expected number of slots at healthy upstreams that are ready and take requests; it
   * need not be whole.
   */
  slots(now: Instant): number {
    const hosts = this.termsSource.sendingHosts(now);
    return this.allStats
      .filter(
        ({ upstream, terms }) =>
          upstream.state === 'ready' && !terms.isLeaving && now >= terms.heldUntil(hosts),
      )
      .reduce((sum, stats) => sum + stats.upstream.slots * (1 - stats.faultProbability(now)), 0);
  }

  all(): readonly UpstreamStats[] {
    return this.allStats;
  }

  /** Returns the statistics with this key; undefined if there are none or two. */
  findByKey(key: number): UpstreamStats | undefined {
    this.statsByKey ??= this.allStats.reduce(
      (byKey, stats) => byKey.set(stats.key, byKey.has(stats.key) ? undefined : stats),
      new Map<number, UpstreamStats | undefined>(),
    );
    return this.statsByKey.get(key);
  }

  /**
   * Adds an upstream or updates its entry; a new run under a known id starts with new statistics.
   */
  put(upstream: GatewayUpstream, now: Instant): void {
    const known = this.statsById.get(upstream.id);
    if (known && known.upstream.born === upstream.born) known.register(upstream);
    else
      this.statsById.set(
        upstream.id,
        new UpstreamStats(
          upstream,
          now - this.lastPlacedAt > ACTIVE_SERVICE_WINDOW_MS ? undefined : now,
          this.termsSource.termsOf(upstream),
          new QueueLimit(this.queueLimit, !this.disabled.has('learned-queue-limit')),
          this.faultRates,
          !this.disabled.has('fault-beliefs'),
        ),
      );
    this.allStats = [...this.statsById.values()];
    this.statsByKey = undefined;
  }

  /** Marks an upstream whose registration has lapsed; `put` clears the mark. */
  markLapsed(id: UpstreamId): void {
    this.statsById.get(id)?.lapse();
  }

  remove(id: UpstreamId): void {
    this.statsById.delete(id);
    this.allStats = [...this.statsById.values()];
    this.statsByKey = undefined;
  }

  /**
   * Selects an upstream for a request. `isOwner` tells whether callers are sent to this node for
   * the service, so that it also receives the other owners' observations.
   */
  place(request: PlacementRequest, isOwner: boolean, now: Instant): Placement {
    this.lastPlacedAt = now;
    if (request.retryable) this.lastRetryableAt = now;
    const placement = chooseUpstream(this.allStats, request, {
      now,
      dataCentre: this.dataCentre,
      isOwner,
      sendingHosts: this.termsSource.sendingHosts(now),
      random: this.random,
      minCoverageRatio: this.coverageRatio(request, now),
      costs: this.costs.ofService(),
      disabled: this.disabled,
    });
    if (placement.kind === 'send') {
      this.requestsSinceCoverage = placement.why === 'cover' ? 0 : this.requestsSinceCoverage + 1;
    }
    return placement;
  }

  /**
   * Returns the ratio of the upstreams that are to be in use; 0 if this request need not cover any.
   * Load pattern: many of the unused upstreams are faulty, and most requests can't be repeated;
   * these cover later than requests that may be repeated, if there are any.
   */
  private coverageRatio({ retryable }: PlacementRequest, now: Instant): number {
    if (this.requestsSinceCoverage < REQUESTS_BETWEEN_COVERAGE_COUNT) return 0;
    const ratio = this.minCoverageRatio();
    const isSpared =
      !retryable &&
      now - this.lastRetryableAt < RECENT_USE_WINDOW_MS &&
      !this.disabled.has('spared-coverage');
    return isSpared ? ratio - SPARED_COVERAGE_RATIO : ratio;
  }

  /** Returns this node's beliefs at `now` about the upstreams it has evidence or a belief of. */
  beliefs(now: Instant): readonly UpstreamBelief[] {
    return this.allStats
      .filter(({ belief, terms }) => belief !== PRIOR_BELIEF || terms.limit)
      .map((stats) => ({
        id: stats.upstream.id,
        born: stats.upstream.born,
        ill: stats.faultProbability(now),
        ...(stats.terms.limit ? { limit: toLimitNews(stats.terms.limit, now) } : {}),
      }));
  }

  /**
   * Adopts another node's belief about an upstream that this node has none of, and its news of the
   * upstream's limit; returns what has changed in its terms.
   */
  adoptBelief({ id, born, ill, limit }: UpstreamBelief, now: Instant): readonly TermsChange[] {
    const stats = this.statsById.get(id);
    if (stats?.upstream.born !== born) return [];
    stats.adoptBelief(ill, now);
    return limit ? stats.terms.adoptLimit(fromLimitNews(limit, now)) : [];
  }

  /** Returns the mean latency of a route's answers in milliseconds. */
  meanLatency(route: string): Millis {
    return (this.meansByRoute.get(route) ?? INITIAL_ANSWER_MEANS).latency;
  }

  /** Forgets the means of routes that are not among `names`. */
  retainRoutes(names: ReadonlySet<string>): void {
    this.meansByRoute.forEach((_, name) => {
      if (!names.has(name)) this.meansByRoute.delete(name);
    });
  }

  /** Returns the mean body length of a route's answers in bytes. */
  meanBytes(route: string): number {
    return (this.meansByRoute.get(route) ?? INITIAL_ANSWER_MEANS).bytes;
  }

  /** Returns the time in milliseconds after which an answer on a route is overdue. */
  overdueAfter(route: string): Millis {
    return Math.max(MIN_OVERDUE_MS, OVERDUE_LATENCY_RATIO * this.meanLatency(route));
  }

  /** Updates the upstream's latency ratio and the route's means with an answer. */
  recordAnswer(stats: UpstreamStats, route: string, { latency, bytes }: AnswerStats): void {
    const means = this.meansByRoute.get(route) ?? { latency: INITIAL_ANSWER_MEANS.latency, bytes };
    stats.recordLatency(latency / Math.max(1, means.latency));
    this.meansByRoute.set(route, {
      latency: means.latency + (latency - means.latency) * NEWEST_ANSWER_WEIGHT,
      bytes: means.bytes + (bytes - means.bytes) * NEWEST_ANSWER_WEIGHT,
    });
  }

  /**
   * Applies another node's observation, unless it is about another run of the upstream; returns
   * what has changed in the upstream's terms.
   */
  applyObservation(
    { id, born, evidence, sentAgo, limit }: UpstreamObservation,
    now: Instant,
  ): readonly TermsChange[] {
    const stats = this.statsById.get(id);
    if (!stats || stats.upstream.born !== born) return [];
    stats.recordPeerUse(now - sentAgo);
    stats.applyEvidence(evidence, now);
    return limit ? stats.terms.adoptLimit(fromLimitNews(limit, now)) : [];
  }
}
