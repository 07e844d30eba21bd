import { ownersOf, type HostGroup, type HostGroups } from '../../core/gateway';
import type { DataCentre, Incarnation, Member, ServiceName } from '../../model';

import type { GatewayContext } from '../context';

/** What the owners are determined from, besides the members. */
export interface ServiceOwnersPorts {
  /** Returns the groups of hosts with the same owners; undefined until a configuration is known. */
  hostGroups(): HostGroups | undefined;
  /** Whether a gateway has no path to the upstreams. */
  isPathCut(incarnation: Incarnation): boolean;
  /** Whether this gateway refuses all requests with keys. */
  isRefusingKeys(): boolean;
}

/**
 * Determines the owners of each service: the gateways that the directory names to callers of its
 * hosts. All gateways with the same members and configuration determine the same ones.
 */
export class ServiceOwners {
  private members: readonly Member[] = [];

  /** Data centres that have at least one member. */
  private dataCentres: readonly DataCentre[] = [];

  /** Cache of the owners by service; cleared when the members, routes or upstreams change. */
  private readonly owners = new Map<ServiceName, readonly Member[]>();

  constructor(
    private readonly context: GatewayContext,
    private readonly self: Incarnation,
    private readonly ports: ServiceOwnersPorts,
  ) {}

  setMembers(members: readonly Member[]): void {
    this.members = members;
    this.dataCentres = [...new Set(members.map(({ dataCentre }) => dataCentre))];
    this.clear();
  }

  /** Has the owners determined again when they are next asked for. */
  clear(): void {
    this.owners.clear();
  }

  /** Returns the owners of a service in all data centres. */
  of(service: ServiceName): readonly Member[] {
    const known = this.owners.get(service);
    if (known) return known;
    const groups = this.ports.hostGroups()?.ofService(service) ?? [];
    const named = groups.flatMap((group) =>
      this.dataCentres.flatMap((dataCentre) =>
        this.ofGroup(dataCentre, group, this.membersWithPath()),
      ),
    );
    const owners = [...new Set(named)];
    this.owners.set(service, owners);
    return owners;
  }

  /** Whether this gateway owns the service. */
  isOwnerOf(service: ServiceName): boolean {
    return this.of(service).some(({ address }) => address === this.ownAddress);
  }

  /** Returns the owners of a service without this gateway. */
  othersOf(service: ServiceName): readonly Member[] {
    return this.of(service).filter(({ address }) => address !== this.ownAddress);
  }

  /** Returns the gateways in a data centre that callers of a host of the group are sent to. */
  forCallers(dataCentre: DataCentre, group: HostGroup): readonly Member[] {
    return this.ofGroup(dataCentre, group, this.membersForCallers());
  }

  /**
   * Returns the gateways that a request of the service may be passed on to, owners of its data
   * centre first; empty if none has a path to the upstreams.
   */
  relayPeersOf(service: ServiceName): readonly Member[] {
    const { dataCentre } = this.context.settings;
    const isUsable = ({ address, incarnation, state }: Member): boolean =>
      address !== this.ownAddress && state === 'alive' && !this.ports.isPathCut(incarnation);
    const ranked = [...new Set([...this.shuffled(this.of(service)), ...this.members])];
    const near = ranked.filter((member) => member.dataCentre === dataCentre);
    const owners = new Set(this.of(service));
    const order = [
      ...near.filter((member) => owners.has(member)),
      ...ranked.filter((member) => owners.has(member) && member.dataCentre !== dataCentre),
      ...ranked.filter((member) => !owners.has(member)),
    ];
    return order.filter(isUsable);
  }

  private get ownAddress(): string {
    return this.context.settings.listen.callers.address;
  }

  /** Returns the owners in one data centre, which carries an equal part of the group's demand. */
  private ofGroup(
    dataCentre: DataCentre,
    { name, demand }: HostGroup,
    members: readonly Member[],
  ): readonly Member[] {
    return ownersOf(members, dataCentre, name, demand / Math.max(1, this.dataCentres.length));
  }

  /**
   * Returns the members that callers may be sent to: others while this one refuses all keys. If it
   * takes all others for dead, it is more likely cut off itself, and names them nevertheless.
   */
  private membersForCallers(): readonly Member[] {
    const members = this.membersWithPath();
    if (!this.ports.isRefusingKeys()) return members;
    const others = members.filter(({ incarnation }) => incarnation !== this.self);
    if (others.some(({ state }) => state === 'alive')) return others;
    const lost = others.filter(({ state }) => state !== 'leaving');
    return lost.length > 0 ? lost.map((member) => ({ ...member, state: 'alive' })) : members;
  }

  /** Returns the members without those whose path to the upstreams is cut; all if none is left. */
  private membersWithPath(): readonly Member[] {
    const withPath = this.members.filter(({ incarnation }) => !this.ports.isPathCut(incarnation));
    return withPath.some(({ state }) => state === 'alive') ? withPath : this.members;
  }

  private shuffled(members: readonly Member[]): readonly Member[] {
    return members
      .map((member) => ({ member, rank: this.context.random() }))
      .sort((a, b) => a.rank - b.rank)
      .map(({ member }) => member);
  }
}
