import { UNKNOWN_BIRTH, type GatewayUpstream, type UpstreamId } from '../../model';

/** One change of an upstream's entry, in the order of the store. */
export type UpstreamChange =
  | { readonly kind: 'put'; readonly upstream: GatewayUpstream }
  | { readonly kind: 'removed'; readonly id: UpstreamId };

/** What a change meant for the list. */
export type UpstreamNews =
  | {
      readonly kind: 'joined' | 'reborn' | 'draining' | 'moved';
      readonly upstream: GatewayUpstream;
    }
  | { readonly kind: 'left'; readonly id: UpstreamId };

const isOlder = (next: GatewayUpstream, known: GatewayUpstream): boolean => {
  if (next.born !== known.born) return next.born < known.born;
  if (known.state === 'draining' && next.state === 'ready') return true;
  // Counts start anew with each run, which shows only by the birth.
  return next.born !== UNKNOWN_BIRTH && next.report < known.report;
};

const newsOf = (next: GatewayUpstream, known?: GatewayUpstream): UpstreamNews | undefined => {
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

  get size(): number {
    return this.upstreams.size;
  }

  all(): Iterable<GatewayUpstream> {
    return this.upstreams.values();
  }

  get(id: UpstreamId): GatewayUpstream | undefined {
    return this.upstreams.get(id);
  }

  apply(change: UpstreamChange): UpstreamNews | undefined {
    switch (change.kind) {
      case 'removed':
        return this.upstreams.delete(change.id) ? { kind: 'left', id: change.id } : undefined;
      case 'put': {
        const { upstream } = change;
        const known = this.upstreams.get(upstream.id);
        if (known && isOlder(upstream, known)) return undefined;
        this.upstreams.set(upstream.id, upstream);
        return newsOf(upstream, known);
      }
    }
  }

  /** Takes a whole reading of the store; what it lacks has left. */
  replace(changes: readonly UpstreamChange[]): readonly UpstreamNews[] {
    const present = new Set(
      changes.flatMap((change) => (change.kind === 'put' ? [change.upstream.id] : [])),
    );
    const gone = [...this.upstreams.keys()].filter((id) => !present.has(id));
    return [...gone.map((id): UpstreamChange => ({ kind: 'removed', id })), ...changes].flatMap(
      (change) => this.apply(change) ?? [],
    );
  }
}
