import { Ownership } from '../../src/core';
import type { Incarnation, Instant } from '../../src/model';
import { MembershipFleet, type IsMessageLost, type FakeNode } from '../fakes/membership-fleet';

import type { SoakScenario, SoakVerdict } from './scenario';

const NODES = 24;
const CENTRES = ['takoradi', 'sekondi', 'tarkwa', 'dg-buk'];
const RACK = 4;
const SHARDS = ['fares/0', 'bookings/0', 'bookings/1', 'archives/0', 'seats/0', 'ledger/0'];
const WARM_UP = 10_000;
const FAULT_PERIOD = 6000;
/** Longest fault, thaw and restart included. */
const FAULT_MAX = 20_000;
/** Time after a fault in which its consequences still show. */
const GRACE = 3000;
/** Within this time after the faults have ended, all views must agree. */
const AGREEMENT_BOUND = 30_000;
/** Longest time that a live and reachable node may be held dead. */
const FALSE_DEATH_BOUND = 20_000;

/** A run's figures. */
interface Tally {
  kills: number;
  /** Undisturbed nodes that were held dead by an undisturbed one. */
  readonly falseDeaths: Set<Incarnation>;
  readonly detection: number[];
}

const checkOwners = ({ membership, place }: FakeNode): void => {
  const ownership = new Ownership();
  ownership.update(SHARDS, membership.members());
  const orphan = SHARDS.find((shard) => ownership.ownersOf(shard).length === 0);
  const self = membership.members().find((m) => m.incarnation === membership.self.incarnation);
  if (orphan && self?.state === 'alive') throw new Error(`${orphan} has no owner at ${place}`);
};

const PLACES = Array.from({ length: NODES }, (_, place) => place);

const rackOf = (place: number): readonly number[] =>
  PLACES.filter((other) => Math.floor(other / RACK) === Math.floor(place / RACK));

const dataCentreOf = (place: number): readonly number[] =>
  PLACES.filter((other) => other % CENTRES.length === place % CENTRES.length);

/** A fleet with random faults; knows which nodes were touched by one, and until when. */
class FaultRun {
  readonly fleet: MembershipFleet;

  readonly tally: Tally = { kills: 0, falseDeaths: new Set(), detection: [] };

  private readonly touchedUntil = new Map<number, Instant>();

  private readonly killedAt = new Map<Incarnation, Instant>();

  private readonly heldDead = new Map<string, Instant>();

  constructor(seed: number) {
    this.fleet = new MembershipFleet(seed, CENTRES);
    this.fleet.onChanged = (node) => this.watch(node);
    for (let place = 0; place < NODES; place++) this.fleet.start(place);
  }

  /** One random fault that ends by itself. */
  fault(): void {
    const place = this.fleet.randomInt(0, NODES - 1);
    const length = this.fleet.randomInt(200, FAULT_MAX);
    const faults = [
      () => this.replace([place], length),
      () => this.replace(rackOf(place), length),
      () => this.replace(dataCentreOf(place), length),
      () => this.freeze(place, length),
      () => this.cutOneWay(place, length),
      () => this.deafen(place, length),
      () => this.partRegions(length),
      () => this.leave(place, length),
      () => this.lose(length),
    ];
    faults[this.fleet.randomInt(0, faults.length - 1)]?.();
  }

  /** Throws when a node without shard owners or a wrongly dead one is found. */
  check(): void {
    this.fleet.runningNodes().forEach((observer) => {
      checkOwners(observer);
      this.fleet.runningNodes().forEach((target) => this.checkHeldDead(observer, target));
    });
  }

  checkAgreement(): void {
    const live = this.fleet.runningNodes();
    const truth = live.map(({ identity }) => identity.incarnation).sort();
    live.forEach(({ membership, place }) => {
      const seen = membership
        .members()
        .filter(({ state }) => state === 'alive')
        .map(({ incarnation }) => incarnation)
        .sort();
      if (seen.join() === truth.join()) return;
      throw new Error(`node ${place} holds ${seen.length} alive of ${truth.length}`);
    });
  }

  private checkHeldDead(observer: FakeNode, target: FakeNode): void {
    const pair = `${observer.identity.incarnation} ${target.identity.incarnation}`;
    const held = observer.membership
      .members()
      .find(({ incarnation }) => incarnation === target.identity.incarnation);
    const isClean = !this.isTouched(observer.place) && !this.isTouched(target.place);
    if (held?.state !== 'dead' || !isClean) {
      this.heldDead.delete(pair);
      return;
    }
    const since = this.heldDead.get(pair) ?? this.fleet.now;
    this.heldDead.set(pair, since);
    if (this.fleet.now - since <= FALSE_DEATH_BOUND) return;
    throw new Error(`node ${observer.place} holds live node ${target.place} dead`);
  }

  private watch(observer: FakeNode): void {
    observer.membership.members().forEach(({ incarnation, state }) => {
      if (state !== 'dead') return;
      const at = this.killedAt.get(incarnation);
      const pair = `seen ${observer.identity.incarnation} ${incarnation}`;
      if (this.heldDead.has(pair)) return;
      this.heldDead.set(pair, this.fleet.now);
      if (at === undefined) this.countFalseDeath(observer, incarnation);
      else this.countDetection(observer, at);
    });
  }

  /** Counts observers that ran undisturbed since before the kill. */
  private countDetection(observer: FakeNode, killedAt: Instant): void {
    const isUndisturbed = (this.touchedUntil.get(observer.place) ?? 0) + GRACE < killedAt;
    if (isUndisturbed) this.tally.detection.push(this.fleet.now - killedAt);
  }

  private countFalseDeath(observer: FakeNode, incarnation: Incarnation): void {
    const target = this.fleet
      .runningNodes()
      .find(({ identity }) => identity.incarnation === incarnation);
    if (!target || this.isTouched(target.place) || this.isTouched(observer.place)) return;
    this.tally.falseDeaths.add(incarnation);
  }

  private isTouched(place: number): boolean {
    return (this.touchedUntil.get(place) ?? 0) + GRACE >= this.fleet.now;
  }

  private touch(places: readonly number[], length: number): void {
    const until = this.fleet.now + length;
    places.forEach((place) => {
      this.touchedUntil.set(place, Math.max(until, this.touchedUntil.get(place) ?? 0));
    });
  }

  private replace(places: readonly number[], length: number): void {
    this.touch(places, length);
    places.forEach((place) => {
      const node = this.fleet.node(place);
      if (!node) return;
      this.tally.kills += 1;
      this.killedAt.set(node.identity.incarnation, this.fleet.now);
      this.fleet.kill(place);
      this.fleet.at(this.fleet.now + length, () => this.startAt(place));
    });
  }

  private leave(place: number, length: number): void {
    this.touch([place], length * 2);
    this.fleet.leave(place);
    this.fleet.at(this.fleet.now + length, () => this.fleet.stop(place));
    this.fleet.at(this.fleet.now + length * 2, () => this.startAt(place));
  }

  private startAt(place: number): void {
    if (!this.fleet.node(place)) this.fleet.start(place);
  }

  private freeze(place: number, length: number): void {
    this.touch([place], length);
    this.fleet.freeze(place, this.fleet.now + length);
  }

  private cutOneWay(place: number, length: number): void {
    const other = this.fleet.randomInt(0, NODES - 1);
    this.cut((from, to) => from === place && to === other, length);
  }

  /** Nothing reaches the node, but others hear it. */
  private deafen(place: number, length: number): void {
    this.touch([place], length);
    this.cut((_, to) => to === place, length);
  }

  private partRegions(length: number): void {
    this.touch(PLACES, length);
    const isWest = (place: number): boolean => place % CENTRES.length < 2;
    const isOneWay = this.fleet.randomInt(0, 1) === 1;
    this.cut((from, to) => isWest(from) !== isWest(to) && (!isOneWay || isWest(from)), length);
  }

  private lose(length: number): void {
    this.fleet.lossPerMille = this.fleet.randomInt(10, 80);
    this.fleet.at(this.fleet.now + length, () => {
      this.fleet.lossPerMille = 0;
    });
  }

  private cut(cut: IsMessageLost, length: number): void {
    this.fleet.cuts.add(cut);
    this.fleet.at(this.fleet.now + length, () => this.fleet.cuts.delete(cut));
  }
}

const percentile = (values: readonly number[], share: number): number => {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor((sorted.length - 1) * share)] ?? 0;
};

const verdictOf = ({ kills, falseDeaths, detection }: Tally, minutes: number): SoakVerdict => ({
  ok: true,
  detail: [
    `kills=${kills}`,
    `detection-p50=${percentile(detection, 0.5)}ms`,
    `detection-p99=${percentile(detection, 0.99)}ms`,
    `false-deaths=${falseDeaths.size}`,
    `virtual-minutes=${minutes}`,
  ].join(' '),
});

/** Kills, freezes, cuts and lost racks, data centres and regions, with all views checked. */
export const membershipSoak: SoakScenario = {
  name: 'membership',
  ciSeeds: [1, 2, 3, 4],
  run(seed, minutes) {
    const run = new FaultRun(seed);
    const { fleet } = run;
    fleet.runUntil(WARM_UP);
    const end = fleet.now + minutes * 60_000;
    while (fleet.now < end) {
      run.fault();
      const next = fleet.now + fleet.randomInt(500, FAULT_PERIOD);
      while (fleet.now < next) {
        fleet.runUntil(fleet.now + 500);
        run.check();
      }
    }
    fleet.runUntil(fleet.now + FAULT_MAX * 2 + AGREEMENT_BOUND);
    run.check();
    run.checkAgreement();
    return verdictOf(run.tally, minutes);
  },
};
