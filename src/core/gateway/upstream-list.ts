import {
  UNKNOWN_START_UNIX_MS,
  type GatewayUpstream,
  type Instant,
  type UpstreamId,
} from '../../model';

/** One change of an upstream's entry; changes are applied in the order of the store. */
export type UpstreamChange =
  | { readonly kind: 'put'; readonly upstream: GatewayUpstream }
  | { readonly kind: 'removed'; readonly id: UpstreamId };

/**
 * The effect of a change on the list. `joined` is a new upstream, `reborn` a new run of a known
 * one, `draining` a change of state, `moved` one of service, slots or endpoint, and `returned` a
 * lapsed one that has registered again.
 */
export type UpstreamListEvent =
  | {
      readonly kind: 'joined' | 'reborn' | 'draining' | 'moved' | 'returned';
      readonly upstream: GatewayUpstream;
    }
  /**
   * The registration is gone, perhaps only for a short time; the upstream stays in use until
   * `until`.
   */
  | { readonly kind: 'lapsed'; readonly id: UpstreamId; readonly until: Instant }
  | { readonly kind: 'left'; readonly upstream: GatewayUpstream };

/** Number of reports by which a write that the store carries out late may be behind. */
const MAX_LATE_REPORT_COUNT = 32;

const isOutdated = (next: GatewayUpstream, known: GatewayUpstream): boolean => {
  if (next.born !== known.born) return next.born < known.born;
  if (known.state === 'draining' && next.state === 'ready') return true;
  // Report numbers start again with each run, which is recognised only by a known `born`.
  return next.born !== UNKNOWN_START_UNIX_MS && next.reportSequence < known.reportSequence;
};

/**
 * Whether an entry that is outdated by the one held speaks against it: one of another run, or a
 * report that is no late write, as it is later than the one held or too far behind it.
 */
const speaksAgainst = (next: GatewayUpstream, held: GatewayUpstream): boolean =>
  next.born !== held.born ||
  next.reportSequence > held.reportSequence ||
  held.reportSequence - next.reportSequence > MAX_LATE_REPORT_COUNT;

const listEventOf = (
  next: GatewayUpstream,
  known?: GatewayUpstream,
): UpstreamListEvent | undefined => {
  if (!known) return { kind: 'joined', upstream: next };
  if (next.born !== known.born) return { kind: 'reborn', upstream: next };
  if (next.state !== known.state) {
    return { kind: next.state === 'draining' ? 'draining' : 'moved', upstream: next };
  }
  const isSame =
    next.service === known.service &&
    next.slots === known.slots &&
    next.endpoint.address === known.endpoint.address &&
    next.endpoint.port === known.endpoint.port;
  return isSame ? undefined : { kind: 'moved', upstream: next };
};

/** The last report of an upstream that has left, and the store's era at that time. */
interface DepartedUpstream {
  readonly born: number;
  readonly reportSequence: number;
  readonly era: number;
}

/** Number of upstreams that have left whose last reports are kept. */
const MAX_DEPARTED_COUNT = 4096;

/**
 * Holds the upstreams in service by id. An entry older than the one held is ignored: one of an
 * earlier run under the same id, an earlier report of the same run, or one that reverts draining to
 * ready. Two ignored entries in succession, the second a later report of the first one's run, that
 * can't be late replace the one held. Load pattern: one entry that another program wrote under the id
 * of an upstream, which goes on to report.
 */
export class UpstreamList {
  private readonly upstreams = new Map<UpstreamId, GatewayUpstream>();

  /** Times at which upstreams whose registration has lapsed are removed. */
  private readonly expiryById = new Map<UpstreamId, Instant>();

  /** The last ignored entries that speak against those held. */
  private readonly contradictions = new Map<UpstreamId, GatewayUpstream>();

  /** The last reports of upstreams that have left, the latest to leave last. */
  private readonly departed = new Map<UpstreamId, DepartedUpstream>();

  /** The latest era of the store in a change. */
  private era = 0;

  get size(): number {
    return this.upstreams.size;
  }

  all(): Iterable<GatewayUpstream> {
    return this.upstreams.values();
  }

  get(id: UpstreamId): GatewayUpstream | undefined {
    return this.upstreams.get(id);
  }

  /**
   * Returns the number of changes that remove an upstream which is ready and has not announced that
   * it leaves.
   */
  unannouncedRemovalCount(changes: readonly UpstreamChange[]): number {
    return changes.filter(
      (change) => change.kind === 'removed' && this.upstreams.get(change.id)?.state === 'ready',
    ).length;
  }

  /** Returns the number of changes that add an upstream which is not in the list. */
  joinedCount(changes: readonly UpstreamChange[]): number {
    return changes.filter(
      (change) => change.kind === 'put' && !this.upstreams.has(change.upstream.id),
    ).length;
  }

  /**
   * Applies a change and returns its effect, if any. An upstream that is removed while ready stays
   * in the list until `keepUntil`; it is removed at once if that is undefined. One that has left
   * stays out if a later `era` of the store shows an earlier report of it: that comes from a copy.
   */
  apply(change: UpstreamChange, keepUntil?: Instant, era = 0): UpstreamListEvent | undefined {
    this.era = Math.max(this.era, era);
    switch (change.kind) {
      case 'removed':
        return this.remove(change.id, keepUntil);
      case 'put': {
        const { upstream } = change;
        const known = this.upstreams.get(upstream.id);
        if (known && isOutdated(upstream, known) && !this.isRefuted(known, upstream)) {
          return undefined;
        }
        this.contradictions.delete(upstream.id);
        if (!known && this.hasLeftBefore(upstream)) return undefined;
        const wasLapsed = this.expiryById.delete(upstream.id);
        this.upstreams.set(upstream.id, upstream);
        const event = listEventOf(upstream, known);
        return !event && wasLapsed ? { kind: 'returned', upstream } : event;
      }
    }
  }

  /** Returns the changes that turn the list into a full snapshot of the store, removals first. */
  changesFromSnapshot(changes: readonly UpstreamChange[]): readonly UpstreamChange[] {
    const present = new Set(
      changes.flatMap((change) => (change.kind === 'put' ? [change.upstream.id] : [])),
    );
    const gone = [...this.upstreams.keys()].filter((id) => !present.has(id));
    return [...gone.map((id): UpstreamChange => ({ kind: 'removed', id })), ...changes];
  }

  /**
   * Removes the upstreams that have not registered again in time, and returns an event for each.
   */
  expire(now: Instant): readonly UpstreamListEvent[] {
    const due = [...this.expiryById].filter(([, until]) => now >= until).map(([id]) => id);
    return due.flatMap((id) => this.remove(id) ?? []);
  }

  /**
   * Returns the time at which the next lapsed upstream is removed; undefined if none has lapsed.
   */
  nextExpiry(): Instant | undefined {
    return this.expiryById.size === 0 ? undefined : Math.min(...this.expiryById.values());
  }

  /** Whether an entry and the one before it show that the one held is false. */
  private isRefuted(held: GatewayUpstream, next: GatewayUpstream): boolean {
    if (!speaksAgainst(next, held)) return false;
    const before = this.contradictions.get(next.id);
    this.contradictions.set(next.id, next);
    return before?.born === next.born && before.reportSequence < next.reportSequence;
  }

  private hasLeftBefore({ id, born, reportSequence }: GatewayUpstream): boolean {
    const departed = this.departed.get(id);
    if (departed?.born !== born) return false;
    return this.era > departed.era && reportSequence <= departed.reportSequence;
  }

  private remove(id: UpstreamId, keepUntil?: Instant): UpstreamListEvent | undefined {
    const upstream = this.upstreams.get(id);
    if (!upstream) return undefined;
    if (keepUntil !== undefined && upstream.state === 'ready') {
      if (this.expiryById.has(id)) return undefined;
      this.expiryById.set(id, keepUntil);
      return { kind: 'lapsed', id, until: keepUntil };
    }
    this.expiryById.delete(id);
    this.contradictions.delete(id);
    this.upstreams.delete(id);
    const { born, reportSequence } = upstream;
    this.departed.delete(id);
    this.departed.set(id, { born, reportSequence, era: this.era });
    if (this.departed.size > MAX_DEPARTED_COUNT) {
      const [oldest] = this.departed.keys();
      if (oldest !== undefined) this.departed.delete(oldest);
    }
    return { kind: 'left', upstream };
  }
}
