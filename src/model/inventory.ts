import type { ServiceName, Upstream, UpstreamId } from './upstream';

/** The set of upstreams in service, keyed by id. Immutable. */
export class Inventory {
  static readonly empty = new Inventory(new Map());

  private readonly upstreamsByService: ReadonlyMap<ServiceName, readonly Upstream[]>;

  private constructor(private readonly upstreamsById: ReadonlyMap<UpstreamId, Upstream>) {
    const upstreamsByService = new Map<ServiceName, Upstream[]>();
    upstreamsById.forEach((upstream) => {
      const group = upstreamsByService.get(upstream.service);
      if (group) group.push(upstream);
      else upstreamsByService.set(upstream.service, [upstream]);
    });
    this.upstreamsByService = upstreamsByService;
  }

  /** Builds an inventory; of several upstreams with one id, the last one counts. */
  static from(upstreams: Iterable<Upstream>): Inventory {
    return new Inventory(new Map([...upstreams].map((upstream) => [upstream.id, upstream])));
  }

  get size(): number {
    return this.upstreamsById.size;
  }

  get serviceNames(): readonly ServiceName[] {
    return [...this.upstreamsByService.keys()];
  }

  has(id: UpstreamId): boolean {
    return this.upstreamsById.has(id);
  }

  get(id: UpstreamId): Upstream | undefined {
    return this.upstreamsById.get(id);
  }

  /**
   * Returns the upstreams of one service in the order of the inventory, or none if it is unknown.
   */
  ofService(service: ServiceName): readonly Upstream[] {
    return this.upstreamsByService.get(service) ?? [];
  }

  all(): readonly Upstream[] {
    return [...this.upstreamsById.values()];
  }

  /**
   * Returns a copy from which `removed` are taken out and to which `put` are then added or
   * replaced.
   */
  withChanges(put: readonly Upstream[], removed: readonly UpstreamId[]): Inventory {
    const next = new Map(this.upstreamsById);
    removed.forEach((id) => next.delete(id));
    put.forEach((upstream) => next.set(upstream.id, upstream));
    return new Inventory(next);
  }
}
