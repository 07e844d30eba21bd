import {
  UNKNOWN_START_UNIX_MS,
  type GatewayUpstream,
  type Instant,
  type UpstreamId,
} from '../../model';

/** One change of an upstream's entry, in the order of the store. */
export type UpstreamChange =
  | { readonly kind: 'put'; readonly upstream: GatewayUpstream }
  | { readonly kind: 'removed'; readonly id: UpstreamId };

/** What a change meant for the list. */
export type UpstreamListEvent =
  | {
      readonly kind: 'joined' | 'reborn' | 'draining' | 'moved';
      readonly upstream: GatewayUpstream;
    }
  /** Its registration is gone, maybe only for a moment; it stays in use until then. */
  | { readonly kind: 'lapsed'; readonly id: UpstreamId; readonly until: Instant }
  | { readonly kind: 'left'; readonly upstream: GatewayUpstream };

const isOlder = (next: GatewayUpstream, known: GatewayUpstream): boolean => {
  if (next.born !== known.born) return next.born < known.born;
  if (known.state === 'draining' && next.state === 'ready') return true;
  // Counts start anew with each run, which shows only by the birth.
  return next.born !== UNKNOWN_START_UNIX_MS && next.reportSequence < known.reportSequence;
};

const eventOf = (next: GatewayUpstream, known?: GatewayUpstream): UpstreamListEvent | undefined => {
  if (!known) return { kind: 'joined', upstream: next };
  if (next.born !== known.born) return { kind: 'reborn', upstream: next };
  if (next.state !== known.state) return { kind: 'draining', upstream: next };
  const isSame =
    next.service === known.service &&
    next.slots === known.slots &&
    next.endpoint.address === known.endpoint.address &&
    next.endpoint.port === known.endpoint.port;
  return isSame ? undefined : { kind: 'moved', upstream: next };
};

/**
 * The upstreams in service, by id. A report that is older than the one held is left out: an earlier
 * run under the same id, an earlier report of the same run, or one that takes back a leaving.
 */
export class UpstreamList {
  private readonly upstreams = new Map<UpstreamId, GatewayUpstream>();

  /** Upstreams whose registration has lapsed, and when they count as gone. */
  private readonly lapsed = new Map<UpstreamId, Instant>();

  get size(): number {
    return this.upstreams.size;
  }

  all(): Iterable<GatewayUpstream> {
    return this.upstreams.values();
  }

  get(id: UpstreamId): GatewayUpstream | undefined {
    return this.upstreams.get(id);
  }

  /** Changes that would take away upstreams that are in service and have not said that they leave. */
  removals(changes: readonly UpstreamChange[]): number {
    return changes.filter(
      (change) => change.kind === 'removed' && this.upstreams.get(change.id)?.state === 'ready',
    ).length;
  }

  /** `keepUntil`: when an upstream that is removed without notice counts as gone; at once if undefined. */
  apply(change: UpstreamChange, keepUntil?: Instant): UpstreamListEvent | undefined {
    switch (change.kind) {
      case 'removed':
        return this.remove(change.id, keepUntil);
      case 'put': {
        const { upstream } = change;
        const known = this.upstreams.get(upstream.id);
        if (known && isOlder(upstream, known)) return undefined;
        this.lapsed.delete(upstream.id);
        this.upstreams.set(upstream.id, upstream);
        return eventOf(upstream, known);
      }
    }
  }

  /** A whole reading of the store as changes: what it lacks is removed. */
  changesTo(changes: readonly UpstreamChange[]): readonly UpstreamChange[] {
    const present = new Set(
      changes.flatMap((change) => (change.kind === 'put' ? [change.upstream.id] : [])),
    );
    const gone = [...this.upstreams.keys()].filter((id) => !present.has(id));
    return [...gone.map((id): UpstreamChange => ({ kind: 'removed', id })), ...changes];
  }

  /** Takes out the upstreams that have not registered again in time. */
  expire(now: Instant): readonly UpstreamListEvent[] {
    const due = [...this.lapsed].filter(([, until]) => now >= until).map(([id]) => id);
    return due.flatMap((id) => this.remove(id) ?? []);
  }

  /** When the next upstream counts as gone; undefined if none has lapsed. */
  nextExpiry(): Instant | undefined {
    return this.lapsed.size === 0 ? undefined : Math.min(...this.lapsed.values());
  }

  private remove(id: UpstreamId, keepUntil?: Instant): UpstreamListEvent | undefined {
    const upstream = this.upstreams.get(id);
    if (!upstream) return undefined;
    if (keepUntil !== undefined && upstream.state === 'ready') {
      if (this.lapsed.has(id)) return undefined;
      this.lapsed.set(id, keepUntil);
      return { kind: 'lapsed', id, until: keepUntil };
    }
    this.lapsed.delete(id);
    this.upstreams.delete(id);
    return { kind: 'left', upstream };
  }
}
