import { randomBytes } from 'node:crypto';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

import { capacityOf, ownersOf, type HostGroup, type HostGroups } from '../core/gateway';
import { decodeMembershipMessage, Membership, type MembershipEvent } from '../core/membership';
import type { EvidenceKind, UpstreamStats } from '../core/placement';
import type { DataCentre, Incarnation, Instant, Member, Millis, ServiceName } from '../model';

import type { GatewayContext } from './context';
import { DatagramLink, type FeedHeads, type PeerTopic } from './peer-link';
import type { ServiceScheduler } from './service-scheduler';
import {
  beliefMessages,
  decodeBeliefs,
  decodeObservations,
  ObservationOutbox,
  type BeliefsMessage,
  type ObservationsMessage,
} from './observations';

/** What the fleet asks of its gateway. */
export interface FleetService {
  heads(): FeedHeads;
  onHeads(heads: FeedHeads): void;
  /** The host names that the same gateways own; undefined until a configuration is known. */
  hostGroups(): HostGroups | undefined;
  schedulers(): ReadonlyMap<ServiceName, ServiceScheduler>;
}

/** How often the membership is told that time passes. */
const MEMBERSHIP_TICK: Millis = 50;
/** Time for a gateway that joins to hear of the others. */
const SETTLING: Millis = 800;
const SEED_BYTES = 4;
const INCARNATION_BYTES = 6;

/**
 * The other gateways: who is there, who owns which service, and what they and this one tell each
 * other of upstreams. Owners of a service are the gateways that the directory names for its hosts.
 */
export class Fleet {
  private readonly link: DatagramLink;

  private readonly membership: Membership;

  private readonly outbox: ObservationOutbox;

  private members: readonly Member[] = [];

  /** Of the members. */
  private dataCentres: readonly DataCentre[] = [];

  /** Owners by service; emptied when the members or the routes change. */
  private readonly owners = new Map<ServiceName, readonly Member[]>();

  /** Services that this node owns, and the other owners that it has asked for beliefs. */
  private readonly owned = new Map<ServiceName, ReadonlySet<Incarnation>>();

  private ticker: NodeJS.Timeout | undefined;

  /** Until then a gateway that knows no other says nothing of where callers should go. */
  private settledAt: Instant = 0;

  constructor(
    private readonly context: GatewayContext,
    private readonly service: FleetService,
  ) {
    const { settings, clock, telemetry } = context;
    this.link = new DatagramLink(telemetry, {
      heads: () => service.heads(),
      onHeads: (heads) => service.onHeads(heads),
      onMessage: (topic, body) => this.onMessage(topic, body),
    });
    this.membership = Membership.start(
      {
        incarnation: randomBytes(INCARNATION_BYTES).toString('hex'),
        dataCentre: settings.dataCentre,
        capacity: capacityOf(settings.limits),
        address: settings.listen.callers.address,
        callerPort: settings.listen.callers.port,
        peerPort: settings.listen.peers.port,
      },
      clock.now(),
      xoroshiro128plus(randomBytes(SEED_BYTES).readInt32LE(0)),
    );
    this.outbox = new ObservationOutbox(clock, (message) => this.tellOwners(message));
  }

  get isJoined(): boolean {
    return this.ticker !== undefined;
  }

  listen(): Promise<void> {
    return this.link.listen(this.context.settings.listen.peers);
  }

  join(): void {
    if (this.ticker) return;
    this.settledAt = this.context.clock.now() + SETTLING;
    this.ticker = setInterval(() => this.tell({ kind: 'tick' }), MEMBERSHIP_TICK);
    this.tellSeeds();
  }

  /** Takes the seeds of the settings. */
  tellSeeds(): void {
    const { seeds, listen: ports } = this.context.settings;
    this.tell({
      kind: 'host-list',
      hosts: seeds.map((address) => ({
        address,
        callerPort: ports.callers.port,
        peerPort: ports.peers.port,
        leaving: false,
      })),
    });
  }

  /** Tells the others that this node takes no new work. */
  leave(): void {
    this.tell({ kind: 'leave' });
  }

  /** Tells the others that this process ends. */
  stop(): void {
    this.tell({ kind: 'stop' });
    clearInterval(this.ticker);
    this.outbox.close();
    this.link.close();
  }

  /** Callers' addresses of the gateways to use, `ip:port`. */
  addressesFor(dataCentre: DataCentre, host: string): readonly string[] {
    // Alone for a moment after its start, it would name itself to all who ask.
    const isAlone = this.members.length <= 1;
    if (isAlone && this.context.clock.now() < this.settledAt) return [];
    const group = this.service.hostGroups()?.ofHost(host.toLowerCase());
    if (!group) return [];
    return this.ownersOfGroup(dataCentre, group).map(
      ({ address, callerPort }) => `${address}:${callerPort}`,
    );
  }

  isOwnerOf(service: ServiceName): boolean {
    const self = this.context.settings.listen.callers.address;
    return this.ownersFor(service).some(({ address }) => address === self);
  }

  /** How many nodes own a service, with this one; 0 if this one does not. */
  retryBudgetSharersOf(service: ServiceName): number {
    return this.isOwnerOf(service) ? this.ownersFor(service).length : 0;
  }

  /** Tells the owners of a service what was seen of one of its upstreams. */
  reportObservation(
    service: ServiceName,
    stats: UpstreamStats,
    evidence: EvidenceKind,
    sentAt: Instant,
  ): void {
    this.outbox.add(service, stats, evidence, sentAt);
  }

  /** The members, the routes or the upstreams have changed. */
  onOwnersChanged(): void {
    this.owners.clear();
    this.service.schedulers().forEach(({ name }) => {
      const isOwner = this.isOwnerOf(name);
      if (isOwner !== this.owned.has(name)) {
        this.context.telemetry.event(isOwner ? 'owners-joined' : 'owners-left', {
          service: name,
          owners: this.ownersFor(name).length,
          members: this.members.length,
        });
      }
      if (isOwner) this.askForBeliefs(name);
      else this.owned.delete(name);
    });
  }

  /** An owner asks each other owner once what it knows; at its start it hears of them one by one. */
  private askForBeliefs(service: ServiceName): void {
    const { address, port: peerPort } = this.context.settings.listen.peers;
    const asked = this.owned.get(service) ?? new Set();
    const others = this.others(service);
    const message: BeliefsMessage = { kind: 'wanted', service, from: { address, peerPort } };
    others
      .filter((owner) => !asked.has(owner.incarnation))
      .forEach((owner) => this.link.send(owner, 'beliefs', message));
    this.owned.set(service, new Set(others.map(({ incarnation }) => incarnation)));
  }

  private ownersFor(service: ServiceName): readonly Member[] {
    const known = this.owners.get(service);
    if (known) return known;
    const groups = this.service.hostGroups()?.ofService(service) ?? [];
    const named = groups.flatMap((group) =>
      this.dataCentres.flatMap((dataCentre) => this.ownersOfGroup(dataCentre, group)),
    );
    const owners = [...new Set(named)];
    this.owners.set(service, owners);
    return owners;
  }

  private ownersOfGroup(dataCentre: DataCentre, { name, demand }: HostGroup): readonly Member[] {
    const part = demand / Math.max(1, this.dataCentres.length);
    return ownersOf(this.members, dataCentre, name, part);
  }

  /** The owners of a service other than this node. */
  private others(service: ServiceName): readonly Member[] {
    const self = this.context.settings.listen.callers.address;
    return this.ownersFor(service).filter(({ address }) => address !== self);
  }

  private tellOwners(message: ObservationsMessage): void {
    this.others(message.service).forEach((owner) => this.link.send(owner, 'sightings', message));
  }

  private onMessage(topic: PeerTopic, body: unknown): void {
    const { clock, telemetry } = this.context;
    switch (topic) {
      case 'membership':
        // Before it has joined, others must not take it for a member.
        if (!this.isJoined) return;
        decodeMembershipMessage(body).caseOf({
          Left: (err) => telemetry.count('datagrams_refused', { reason: err.kind }),
          Right: (message) => this.tell({ kind: 'message', message }),
        });
        return;
      case 'sightings': {
        const message = decodeObservations(body);
        if (!message) telemetry.count('datagrams_refused', { reason: 'sightings' });
        const balancer = message && this.service.schedulers().get(message.service)?.balancer;
        message?.sightings.forEach((sighting) => balancer?.applyObservation(sighting, clock.now()));
        return;
      }
      case 'beliefs': {
        const message = decodeBeliefs(body);
        if (message) this.onBeliefs(message);
        else telemetry.count('datagrams_refused', { reason: 'beliefs' });
      }
    }
  }

  private onBeliefs(message: BeliefsMessage): void {
    const now = this.context.clock.now();
    const balancer = this.service.schedulers().get(message.service)?.balancer;
    switch (message.kind) {
      case 'told':
        message.beliefs.forEach((belief) => balancer?.adoptBelief(belief, now));
        return;
      case 'wanted':
        beliefMessages(message.service, balancer?.beliefs(now) ?? []).forEach((told) =>
          this.link.send(message.from, 'beliefs', told),
        );
    }
  }

  private tell(event: MembershipEvent): void {
    this.membership.apply(event, this.context.clock.now()).effects.forEach((effect) => {
      switch (effect.kind) {
        case 'send':
          this.link.send(effect.to, 'membership', effect.message);
          return;
        case 'changed':
          this.members = effect.members;
          this.dataCentres = [...new Set(this.members.map(({ dataCentre }) => dataCentre))];
          this.onOwnersChanged();
      }
    });
  }
}
