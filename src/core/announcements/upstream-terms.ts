import type {
  Instant,
  Millis,
  RequestsPerSecond,
  UpstreamAnnouncement,
  UpstreamId,
} from '../../model';
import { hashOf } from '../hash';

import { TAKEOVER_DELAY_MS, type SendingHosts } from './sending-hosts';

/** Part of the interval between two requests by which one may come early. */
const EARLY_INTERVAL_RATIO = 0.5;

/** The limit that an upstream last announced, and when a gateway last heard of it. */
export interface AnnouncedLimit {
  /** Undefined once the upstream no longer names a limit. */
  readonly rate: RequestsPerSecond | undefined;
  readonly heardAt: Instant;
}

/** An announced limit as gateways tell each other. */
export interface LimitNews {
  /** Requests per second; null once the upstream no longer names a limit. */
  readonly perSecond: RequestsPerSecond | null;
  /** Milliseconds since the teller heard of it. */
  readonly heardAgo: Millis;
}

/** Returns a limit as it is told at `now`. */
export const toLimitNews = ({ rate, heardAt }: AnnouncedLimit, now: Instant): LimitNews => ({
  perSecond: rate ?? null,
  heardAgo: Math.max(0, Math.round(now - heardAt)),
});

/** Returns a limit that was told at `now`. */
export const fromLimitNews = (
  { perSecond, heardAgo }: LimitNews,
  now: Instant,
): AnnouncedLimit => ({ rate: perSecond ?? undefined, heardAt: now - heardAgo });

/** A change of an upstream's terms. */
export type TermsChange =
  | {
      readonly kind: 'limit';
      /** The limit before and now; undefined where there is none. */
      readonly before: RequestsPerSecond | undefined;
      readonly rateLimit: RequestsPerSecond | undefined;
    }
  /** The upstream wants nothing from this host for `pause` milliseconds. */
  | { readonly kind: 'pause'; readonly pause: Millis }
  | { readonly kind: 'leaving' };

/** This host's part of a limit: its requests are at least about `interval` apart. */
interface LimitShare {
  readonly hosts: SendingHosts;
  readonly rate: RequestsPerSecond;
  readonly interval: Millis;
  /** Time before which this host sends nothing, as the one that had its share may still send. */
  readonly startsAt: Instant;
}

/** The terms on which one run of an upstream takes requests, as its answers announce them. */
export class UpstreamTerms {
  private announced: AnnouncedLimit | undefined;

  /** Until when the upstream wants nothing from this host. */
  private pausedUntil: Instant = Number.NEGATIVE_INFINITY;

  private leaves = false;

  private share: LimitShare | undefined;

  private lastSentAt: Instant = Number.NEGATIVE_INFINITY;

  /** Time at which the next request is due if they are evenly spaced. */
  private dueAt: Instant = Number.NEGATIVE_INFINITY;

  private readonly idHash: number;

  constructor(id: UpstreamId) {
    this.idHash = hashOf(id);
  }

  /** Whether the upstream has said that it leaves; this holds for the rest of its run. */
  get isLeaving(): boolean {
    return this.leaves;
  }

  /** The limit as last announced; undefined if none ever was. */
  get limit(): AnnouncedLimit | undefined {
    return this.announced;
  }

  /**
   * Applies the announcement of an answer; returns what has changed. Only a `genuine` answer ends a
   * limit by naming none, as others may leave headers out.
   */
  apply(
    { rateLimit, isLeaving, pause }: UpstreamAnnouncement,
    { genuine }: { readonly genuine: boolean },
    now: Instant,
  ): readonly TermsChange[] {
    const changes: TermsChange[] = [];
    if (isLeaving && !this.leaves) {
      this.leaves = true;
      changes.push({ kind: 'leaving' });
    }
    if (pause !== undefined && now + pause > this.pausedUntil) {
      this.pausedUntil = now + pause;
      changes.push({ kind: 'pause', pause });
    }
    if (rateLimit === undefined && (!genuine || !this.announced)) return changes;
    return [...changes, ...this.setLimit({ rate: rateLimit, heardAt: now })];
  }

  /** Adopts what another gateway heard if it is later; returns what has changed. */
  adoptLimit(limit: AnnouncedLimit): readonly TermsChange[] {
    if (this.announced && this.announced.heardAt >= limit.heardAt) return [];
    return this.setLimit(limit);
  }

  /**
   * Returns the time before which this host may send the upstream nothing; -Infinity if it may send
   * at any time, Infinity if the limit is left to other hosts.
   */
  heldUntil(hosts: SendingHosts): Instant {
    const rate = this.announced?.rate;
    if (rate === undefined) return this.pausedUntil;
    if (this.share?.hosts !== hosts || this.share.rate !== rate) this.updateShare(hosts, rate);
    const { interval, startsAt } = this.share ?? { interval: 0, startsAt: 0 };
    if (interval === Number.POSITIVE_INFINITY) return interval;
    return Math.max(this.pausedUntil, startsAt, this.dueAt - EARLY_INTERVAL_RATIO * interval);
  }

  /**
   * Whether a request that has been recorded may still leave, as an announcement may have come
   * while it waited for a connection.
   */
  mayStillSend(now: Instant): boolean {
    return !this.leaves && now >= this.pausedUntil;
  }

  /** Records that a request leaves for the upstream. */
  recordSend(now: Instant): void {
    this.lastSentAt = now;
    if (this.announced?.rate === undefined) return;
    const interval = this.share?.interval ?? 0;
    this.dueAt = Math.max(now, this.dueAt) + (Number.isFinite(interval) ? interval : 0);
  }

  private setLimit(limit: AnnouncedLimit): readonly TermsChange[] {
    const before = this.announced?.rate;
    this.announced = limit;
    if (before === limit.rate) return [];
    if (before === undefined) this.share = undefined;
    return [{ kind: 'limit', before, rateLimit: limit.rate }];
  }

  private updateShare(hosts: SendingHosts, rate: RequestsPerSecond): void {
    const interval = hosts.intervalOf(this.idHash, rate);
    const { share } = this;
    const hasGrown = !share || (share.hosts !== hosts && interval < share.interval);
    const startsAt = hasGrown ? hosts.since + TAKEOVER_DELAY_MS : share.startsAt;
    this.share = { hosts, rate, interval, startsAt };
    this.dueAt = Number.isFinite(interval) ? this.lastSentAt + interval : this.lastSentAt;
  }
}
