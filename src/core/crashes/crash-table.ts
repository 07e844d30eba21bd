import type { Instant, Millis, UpstreamId } from '../../model';

import type { RequestDigest } from './request-digest';

/** Number of crashed upstreams from which a request is no longer repeated or hedged. */
const SUSPECT_CRASH_COUNT = 2;
/** Number of crashed upstreams from which a request is held back. */
const HELD_CRASH_COUNT = 3;
/** Number of trials of a held request, after which only an operator could release it. */
const MAX_TRIAL_COUNT = 2;
/** Time in milliseconds from the crash that led to the hold until the first trial. */
const FIRST_TRIAL_DELAY_MS: Millis = 300_000;
/** Factor between the delays before two trials. */
const TRIAL_DELAY_GROWTH = 10;
/** Time in milliseconds after its last crash, answer or refusal at which a request is forgotten. */
const RETENTION_MS: Millis = 3_600_000;
/** Number of requests of which crashes are kept; beyond it the oldest are dropped. */
const MAX_REQUEST_COUNT = 1000;
/** Number of crashes that are kept of one request; they are enough to hold it back for good. */
const MAX_CRASH_COUNT = HELD_CRASH_COUNT + MAX_TRIAL_COUNT;
/** Time in milliseconds for which a crash or an answer is worth repeating to other nodes. */
const NEWS_MS: Millis = 10_000;

/** A run of an upstream that crashed while it ran a request. */
export interface UpstreamCrash {
  readonly upstream: UpstreamId;
  /** Identifies the run; see `GatewayUpstream.born`. */
  readonly born: number;
  readonly crashedAt: Instant;
}

/** What is known of one request: upstreams that crashed under it, and its latest good answer. */
export interface RequestRecord {
  readonly digest: RequestDigest;
  readonly crashes: readonly UpstreamCrash[];
  /** When a complete answer to it last came; -Infinity if none did. */
  readonly answeredAt: Instant;
}

/** How a request may be handled. */
export type RequestStanding =
  | { readonly kind: 'clear' }
  /** It may be sent, but is not sent twice. */
  | { readonly kind: 'suspect' }
  /** It is not sent before `until`; Infinity if it is held for good. */
  | { readonly kind: 'held'; readonly until: Instant }
  /** It is held back, and one host may now try it once. */
  | { readonly kind: 'trial' };

interface Entry {
  readonly record: RequestRecord;
  /** When this node last started a trial of the request; -Infinity if it never did. */
  readonly triedAt: Instant;
  /** Number of trials that this node has started. */
  readonly trials: number;
  readonly keepUntil: Instant;
}

const CLEAR: RequestStanding = { kind: 'clear' };

const mergeCrashes = (
  known: readonly UpstreamCrash[],
  told: readonly UpstreamCrash[],
): readonly UpstreamCrash[] => {
  const added = told.filter(
    ({ upstream, born }) =>
      !known.some((crash) => crash.upstream === upstream && crash.born === born),
  );
  return [...known, ...added];
};

/** Returns the crashes that no complete answer has followed. */
const unansweredCrashes = ({ crashes, answeredAt }: RequestRecord): readonly UpstreamCrash[] =>
  crashes.filter(({ crashedAt }) => crashedAt > answeredAt);

/**
 * Holds the upstreams that crashed under each request, and decides which requests are held back.
 * A crash is blamed on all requests that the upstream ran, and a complete answer clears a request.
 * Records merge in any order to the same state. Load pattern: a request that crashes every upstream
 * that runs it comes again at any host, so that repeats and the other hosts multiply the crashes.
 */
export class CrashTable {
  /** Entries by digest, the last changed at the end. */
  private readonly entries = new Map<RequestDigest, Entry>();

  get size(): number {
    return this.entries.size;
  }

  /** Returns the number of upstreams that crashed under a request since its latest answer. */
  crashCount(digest: RequestDigest): number {
    const record = this.entries.get(digest)?.record;
    return record ? unansweredCrashes(record).length : 0;
  }

  /** Merges a record from this node or another; returns whether anything in it was new. */
  merge({ digest, crashes, answeredAt }: RequestRecord, now: Instant): boolean {
    const entry = this.entries.get(digest);
    const known = entry?.record ?? { digest, crashes: [], answeredAt: Number.NEGATIVE_INFINITY };
    const latestAnswer = Math.max(known.answeredAt, answeredAt);
    const merged = unansweredCrashes({
      digest,
      crashes: mergeCrashes(known.crashes, crashes),
      answeredAt: latestAnswer,
    }).slice(0, MAX_CRASH_COUNT);
    const isNew =
      latestAnswer > known.answeredAt || merged.some((crash) => !known.crashes.includes(crash));
    if (!isNew) return false;
    this.put({
      record: { digest, crashes: merged, answeredAt: latestAnswer },
      triedAt: entry?.triedAt ?? Number.NEGATIVE_INFINITY,
      trials: entry?.trials ?? 0,
      keepUntil: now + RETENTION_MS,
    });
    this.dropOldest(now);
    return true;
  }

  /**
   * Returns how a request may be handled; `mayTry` tells whether this host is the one to try it, and
   * is asked only if a trial is due.
   */
  standingOf(
    digest: RequestDigest,
    now: Instant,
    mayTry: () => boolean = () => false,
  ): RequestStanding {
    const entry = this.entries.get(digest);
    if (!entry || now >= entry.keepUntil) return CLEAR;
    const crashes = unansweredCrashes(entry.record);
    if (crashes.length < SUSPECT_CRASH_COUNT) return CLEAR;
    if (crashes.length < HELD_CRASH_COUNT) return { kind: 'suspect' };
    const trials = Math.max(crashes.length - HELD_CRASH_COUNT, entry.trials);
    if (trials >= MAX_TRIAL_COUNT) return { kind: 'held', until: Number.POSITIVE_INFINITY };
    const since = Math.max(entry.triedAt, ...crashes.map(({ crashedAt }) => crashedAt));
    const until = since + FIRST_TRIAL_DELAY_MS * TRIAL_DELAY_GROWTH ** trials;
    return now >= until && mayTry() ? { kind: 'trial' } : { kind: 'held', until };
  }

  /** Records that this node sends a held request for a trial. */
  startTrial(digest: RequestDigest, now: Instant): void {
    const entry = this.entries.get(digest);
    if (entry) this.put({ ...entry, triedAt: now, trials: entry.trials + 1 });
  }

  /** Keeps the record of a held request that has come again. */
  touch(digest: RequestDigest, now: Instant): void {
    const entry = this.entries.get(digest);
    if (entry) this.put({ ...entry, keepUntil: now + RETENTION_MS });
  }

  recordOf(digest: RequestDigest): RequestRecord | undefined {
    return this.entries.get(digest)?.record;
  }

  /** Returns all records, the last changed first. */
  records(): readonly RequestRecord[] {
    return [...this.entries.values()].map(({ record }) => record).reverse();
  }

  /** Returns the records that other nodes may still lack: of held requests, and recent ones. */
  news(now: Instant): readonly RequestRecord[] {
    return this.records().filter((record) => {
      if (unansweredCrashes(record).length >= HELD_CRASH_COUNT) return true;
      const times = [record.answeredAt, ...record.crashes.map(({ crashedAt }) => crashedAt)];
      return times.some((at) => now - at < NEWS_MS);
    });
  }

  private put(entry: Entry): void {
    this.entries.delete(entry.record.digest);
    this.entries.set(entry.record.digest, entry);
  }

  private dropOldest(now: Instant): void {
    this.entries.forEach(({ keepUntil }, digest) => {
      if (now >= keepUntil || this.entries.size > MAX_REQUEST_COUNT) this.entries.delete(digest);
    });
  }
}
