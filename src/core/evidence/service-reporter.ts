import { toLimitNews } from '../announcements';
import type { Instant, Millis, RequestsPerSecond } from '../../model';
import { RECENT_USE_WINDOW_MS, type EvidenceKind, type UpstreamStats } from '../placement';

import { MAX_GOOD_COUNT, type FailureKind, type UpstreamReport } from './service-report';

/** Interval in milliseconds at which a reporter is asked for the reports that are due. */
export const REPORT_TICK_MS: Millis = 250;
/**
 * Minimum interval in milliseconds between good responses of one upstream that count as evidence,
 * as responses in quick succession are not independent of each other.
 */
const GOOD_EVIDENCE_INTERVAL_MS: Millis = 250;
/** Time in milliseconds allowed for a report to arrive. */
const DELIVERY_MS: Millis = 100;
/**
 * Age in milliseconds of the last known use of an upstream from which a new use is reported at the
 * next tick, before the other owners take the upstream for unused and cover it needlessly.
 */
const EXPIRING_USE_AGE_MS: Millis = RECENT_USE_WINDOW_MS - REPORT_TICK_MS - DELIVERY_MS;
/** Interval in milliseconds at which an unchanged limit or number in flight is reported again. */
const REPEAT_INTERVAL_MS: Millis = 1000;

/** What has been reported of an upstream, and what has not yet been. */
interface ReportState {
  goodCount: number;
  /** When the last good response was counted; -Infinity after a failure. */
  goodAt: Instant;
  /**
   * When the latest attempt began that evidence is from. Attempts without any may not have reached
   * the upstream, as where this host's path is cut, and are not reported as uses.
   */
  usedAt: Instant;
  /** The last use of the upstream that was reported. */
  reportedUseAt: Instant;
  reportedAt: Instant;
  reportedInFlight: number;
  /** The limit in the last report of one. */
  rate: RequestsPerSecond | undefined;
  limitReportedAt: Instant;
}

/** A failure to be reported; `stats` are those of its upstream. */
interface UnreportedFailure {
  readonly stats: UpstreamStats;
  readonly failure: FailureKind;
}

/**
 * Decides what to report of one service's upstreams to a group of other owners, and when. Failures,
 * overdue responses and changed limits are due at once. Good responses are collected and due at
 * every tick, or at every `ticksPerReport`th for owners to which bytes are expensive. Load pattern:
 * thousands of good responses a second, a few failures among them, and upstreams that are used so
 * rarely that coverage depends on each use.
 */
export class ServiceReporter {
  private readonly states = new WeakMap<UpstreamStats, ReportState>();

  private failures: UnreportedFailure[] = [];

  private readonly changedLimits = new Set<UpstreamStats>();

  private tickCount = 0;

  constructor(private readonly ticksPerReport: number) {}

  /** Records evidence from an attempt that began at `sentAt`; returns whether it is due at once. */
  record(stats: UpstreamStats, evidence: EvidenceKind, sentAt: Instant, now: Instant): boolean {
    const state = this.stateOf(stats);
    state.usedAt = Math.max(state.usedAt, sentAt);
    if (state.rate !== stats.terms.limit?.rate) this.changedLimits.add(stats);
    if (evidence === 'good') {
      if (now - state.goodAt >= GOOD_EVIDENCE_INTERVAL_MS) {
        state.goodAt = now;
        state.goodCount = Math.min(MAX_GOOD_COUNT, state.goodCount + 1);
      }
      return this.changedLimits.has(stats);
    }
    state.goodAt = Number.NEGATIVE_INFINITY;
    this.failures.push({ stats, failure: evidence });
    return true;
  }

  /** Marks the upstream's limit as known to the other owners, as one of them has reported it. */
  noteKnownLimit(stats: UpstreamStats): void {
    this.stateOf(stats).rate = stats.terms.limit?.rate;
  }

  /** Returns the reports that are due at once, and counts them as sent. */
  takeUrgent(now: Instant): readonly UpstreamReport[] {
    const { failures } = this;
    this.failures = [];
    const reports = failures.map(({ stats, failure }) => ({
      ...this.report(stats, now),
      failure,
    }));
    const changed = [...this.changedLimits].map((stats) => this.report(stats, now));
    this.changedLimits.clear();
    return [...reports, ...changed];
  }

  /** Returns the reports of these upstreams that are due at a tick, and counts them as sent. */
  takeDue(all: readonly UpstreamStats[], now: Instant): readonly UpstreamReport[] {
    this.tickCount += 1;
    const isFull = this.tickCount % this.ticksPerReport === 0;
    const due = all.filter((stats) =>
      isFull ? this.hasNews(stats, now) : this.isUseExpiring(stats, now),
    );
    return [...this.takeUrgent(now), ...due.map((stats) => this.report(stats, now))];
  }

  private stateOf(stats: UpstreamStats): ReportState {
    const known = this.states.get(stats);
    if (known) return known;
    const state: ReportState = {
      goodCount: 0,
      goodAt: Number.NEGATIVE_INFINITY,
      usedAt: Number.NEGATIVE_INFINITY,
      reportedUseAt: Number.NEGATIVE_INFINITY,
      reportedAt: Number.NEGATIVE_INFINITY,
      reportedInFlight: 0,
      rate: undefined,
      limitReportedAt: Number.NEGATIVE_INFINITY,
    };
    this.states.set(stats, state);
    return state;
  }

  private hasNews(stats: UpstreamStats, now: Instant): boolean {
    const { inFlight } = stats;
    if (inFlight === 0 && !this.states.has(stats)) return false;
    const { goodCount, usedAt, reportedUseAt, reportedInFlight, reportedAt } = this.stateOf(stats);
    if (goodCount > 0 || usedAt > reportedUseAt) return true;
    return inFlight === 0
      ? reportedInFlight > 0
      : inFlight !== reportedInFlight || now - reportedAt >= REPEAT_INTERVAL_MS;
  }

  /** Whether the upstream has a new use, and the last that other owners know of is old. */
  private isUseExpiring(stats: UpstreamStats, now: Instant): boolean {
    const state = this.states.get(stats);
    if (!state || now - state.usedAt >= RECENT_USE_WINDOW_MS) return false;
    const { usedAt, reportedUseAt } = state;
    const knownUseAt = Math.max(reportedUseAt, stats.peersSentAt);
    return usedAt > knownUseAt && now - knownUseAt >= EXPIRING_USE_AGE_MS;
  }

  /** Returns the report of an upstream and counts it as sent. */
  private report(stats: UpstreamStats, now: Instant): UpstreamReport {
    const state = this.stateOf(stats);
    const { usedAt } = state;
    const { limit } = stats.terms;
    const hasLimit =
      limit !== undefined &&
      (limit.rate !== state.rate || now - state.limitReportedAt >= REPEAT_INTERVAL_MS);
    const report: UpstreamReport = {
      key: stats.key,
      goodCount: state.goodCount,
      sentAgo: Number.isFinite(usedAt) ? Math.max(0, now - usedAt) : undefined,
      inFlight: stats.inFlight,
      ...(hasLimit ? { limit: toLimitNews(limit, now) } : {}),
    };
    state.goodCount = 0;
    state.reportedUseAt = usedAt;
    state.reportedAt = now;
    state.reportedInFlight = stats.inFlight;
    if (hasLimit) Object.assign(state, { rate: limit.rate, limitReportedAt: now });
    return report;
  }
}
