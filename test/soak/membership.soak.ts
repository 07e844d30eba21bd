import { Ownership } from '../../src/core';
import type { Incarnation, Instant } from '../../src/model';
import { MembershipFleet, type IsMessageLost, type FakeNode } from '../fakes/membership-fleet';

import type { SoakScenario, SoakVerdict } from './scenario';

const NODE_COUNT = 24;
const DATA_CENTRES = ['takoradi', 'sekondi', 'tarkwa', 'dg-buk'];
const NODES_PER_RACK = 4;
const SHARD_NAMES = ['fares/0', 'bookings/0', 'bookings/1', 'archives/0', 'seats/0', 'ledger/0'];
const WARM_UP_MS = 10_000;
/** Longest time between the starts of two faults. */
const MAX_FAULT_GAP_MS = 6000;
/** Longest duration of a fault, including the time until a node resumes or restarts. */
const MAX_FAULT_MS = 20_000;
/** Time after a fault in which its effects may still be visible. */
const AFTEREFFECT_MS = 3000;
/** Longest time after the last fault until all nodes have the same view. */
const AGREEMENT_BOUND_MS = 30_000;
/** Longest time for which a live and reachable node may be seen as dead. */
const FALSE_DEATH_BOUND_MS = 20_000;

/** Counts and times of one run. */
interface FaultTally {
  kills: number;
  /** Undisturbed nodes that an undisturbed node saw as dead. */
  readonly falseDeaths: Set<Incarnation>;
  /** Milliseconds from a kill until an undisturbed node saw the killed node as dead. */
  readonly detectionTimes: number[];
}

/** Throws if a shard has no owner in the view of a node that sees itself alive. */
const checkOwners = ({ membership, place }: FakeNode): void => {
  const ownership = new Ownership();
  ownership.update(SHARD_NAMES, membership.members());
  const orphan = SHARD_NAMES.find((shard) => ownership.ownersOf(shard).length === 0);
  const self = membership.members().find((m) => m.incarnation === membership.self.incarnation);
  if (orphan && self?.state === 'alive')
    throw new Error(`${orphan} has no owner in the view of node ${place}`);
};

/** Places of the fleet; each runs one node process at a time, and a restart keeps the place. */
const PLACES = Array.from({ length: NODE_COUNT }, (_, place) => place);

const placesInRackOf = (place: number): readonly number[] =>
  PLACES.filter(
    (other) => Math.floor(other / NODES_PER_RACK) === Math.floor(place / NODES_PER_RACK),
  );

const placesInDataCentreOf = (place: number): readonly number[] =>
  PLACES.filter((other) => other % DATA_CENTRES.length === place % DATA_CENTRES.length);

/** Injects random faults into a fleet and records which nodes they disturb, and until when. */
class FaultRun {
  readonly fleet: MembershipFleet;

  readonly tally: FaultTally = { kills: 0, falseDeaths: new Set(), detectionTimes: [] };

  /** End of the last fault that disturbs the node, by place. */
  private readonly disturbedUntil = new Map<number, Instant>();

  private readonly killedAt = new Map<Incarnation, Instant>();

  /**
   * Time since which an observer has seen a target as dead. `observer target` pairs are removed
   * when the view ends or a fault disturbs either node; `seen observer target` pairs stay, so that
   * each death is counted once.
   */
  private readonly seenDeadSince = new Map<string, Instant>();

  constructor(seed: number) {
    this.fleet = new MembershipFleet(seed, DATA_CENTRES);
    this.fleet.onChanged = (node) => this.recordDeaths(node);
    for (let place = 0; place < NODE_COUNT; place++) this.fleet.start(place);
  }

  /** Injects one random fault, which ends by itself. */
  injectFault(): void {
    const place = this.fleet.randomInt(0, NODE_COUNT - 1);
    const length = this.fleet.randomInt(200, MAX_FAULT_MS);
    const faults = [
      () => this.killAndRestart([place], length),
      () => this.killAndRestart(placesInRackOf(place), length),
      () => this.killAndRestart(placesInDataCentreOf(place), length),
      () => this.pauseNode(place, length),
      () => this.cutOneWay(place, length),
      () => this.cutIncoming(place, length),
      () => this.partitionRegions(length),
      () => this.leave(place, length),
      () => this.dropMessages(length),
    ];
    faults[this.fleet.randomInt(0, faults.length - 1)]?.();
  }

  /** Throws if a shard has no owner or a live node has been seen as dead for too long. */
  checkInvariants(): void {
    this.fleet.runningNodes().forEach((observer) => {
      checkOwners(observer);
      this.fleet.runningNodes().forEach((target) => this.checkFalseDeath(observer, target));
    });
  }

  /** Throws if a node's view of the live nodes differs from the nodes that run. */
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
      throw new Error(
        `node ${place} sees ${seen.length} nodes alive, differs from the ${truth.length} that run`,
      );
    });
  }

  private checkFalseDeath(observer: FakeNode, target: FakeNode): void {
    const pair = `${observer.identity.incarnation} ${target.identity.incarnation}`;
    const seen = observer.membership
      .members()
      .find(({ incarnation }) => incarnation === target.identity.incarnation);
    const isUndisturbedPair = !this.isDisturbed(observer.place) && !this.isDisturbed(target.place);
    if (seen?.state !== 'dead' || !isUndisturbedPair) {
      this.seenDeadSince.delete(pair);
      return;
    }
    const since = this.seenDeadSince.get(pair) ?? this.fleet.now;
    this.seenDeadSince.set(pair, since);
    if (this.fleet.now - since <= FALSE_DEATH_BOUND_MS) return;
    throw new Error(`node ${observer.place} sees live node ${target.place} as dead`);
  }

  /** Counts each death that an observer sees for the first time. */
  private recordDeaths(observer: FakeNode): void {
    observer.membership.members().forEach(({ incarnation, state }) => {
      if (state !== 'dead') return;
      const at = this.killedAt.get(incarnation);
      const pair = `seen ${observer.identity.incarnation} ${incarnation}`;
      if (this.seenDeadSince.has(pair)) return;
      this.seenDeadSince.set(pair, this.fleet.now);
      if (at === undefined) this.countFalseDeath(observer, incarnation);
      else this.countDetection(observer, at);
    });
  }

  /** Records the detection time of an observer that was undisturbed before the kill. */
  private countDetection(observer: FakeNode, killedAt: Instant): void {
    const isUndisturbed =
      (this.disturbedUntil.get(observer.place) ?? 0) + AFTEREFFECT_MS < killedAt;
    if (isUndisturbed) this.tally.detectionTimes.push(this.fleet.now - killedAt);
  }

  private countFalseDeath(observer: FakeNode, incarnation: Incarnation): void {
    const target = this.fleet
      .runningNodes()
      .find(({ identity }) => identity.incarnation === incarnation);
    if (!target || this.isDisturbed(target.place) || this.isDisturbed(observer.place)) return;
    this.tally.falseDeaths.add(incarnation);
  }

  /** Whether a fault disturbs the node now, or its effects may still be visible. */
  private isDisturbed(place: number): boolean {
    return (this.disturbedUntil.get(place) ?? 0) + AFTEREFFECT_MS >= this.fleet.now;
  }

  private markDisturbed(places: readonly number[], length: number): void {
    const until = this.fleet.now + length;
    places.forEach((place) => {
      this.disturbedUntil.set(place, Math.max(until, this.disturbedUntil.get(place) ?? 0));
    });
  }

  /** Kills nodes and starts new ones in their places after `length` milliseconds. */
  private killAndRestart(places: readonly number[], length: number): void {
    this.markDisturbed(places, length);
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
    this.markDisturbed([place], length * 2);
    this.fleet.leave(place);
    this.fleet.at(this.fleet.now + length, () => this.fleet.stop(place));
    this.fleet.at(this.fleet.now + length * 2, () => this.startAt(place));
  }

  private startAt(place: number): void {
    if (!this.fleet.node(place)) this.fleet.start(place);
  }

  private pauseNode(place: number, length: number): void {
    this.markDisturbed([place], length);
    this.fleet.freeze(place, this.fleet.now + length);
  }

  private cutOneWay(place: number, length: number): void {
    const other = this.fleet.randomInt(0, NODE_COUNT - 1);
    this.cut((from, to) => from === place && to === other, length);
  }

  /** Drops all messages to a node, while its own messages reach the others. */
  private cutIncoming(place: number, length: number): void {
    this.markDisturbed([place], length);
    this.cut((_, to) => to === place, length);
  }

  /** Cuts the first two data centres off from the other two, in one or both directions. */
  private partitionRegions(length: number): void {
    this.markDisturbed(PLACES, length);
    const isWest = (place: number): boolean => place % DATA_CENTRES.length < 2;
    const isOneWay = this.fleet.randomInt(0, 1) === 1;
    this.cut((from, to) => isWest(from) !== isWest(to) && (!isOneWay || isWest(from)), length);
  }

  /** Sets a random message loss rate for the whole fleet. */
  private dropMessages(length: number): void {
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

const verdictOf = (
  { kills, falseDeaths, detectionTimes }: FaultTally,
  minutes: number,
): SoakVerdict => ({
  ok: true,
  detail: [
    `kills=${kills}`,
    `detection-p50=${percentile(detectionTimes, 0.5)}ms`,
    `detection-p99=${percentile(detectionTimes, 0.99)}ms`,
    `false-deaths=${falseDeaths.size}`,
    `virtual-minutes=${minutes}`,
  ].join(' '),
});

/**
 * Membership views under killed, paused and leaving nodes, cut links, message loss, and failures of
 * whole racks, data centres and regions.
 */
export const membershipSoak: SoakScenario = {
  name: 'membership',
  ciSeeds: [1, 2, 3, 4],
  run(seed, minutes) {
    const run = new FaultRun(seed);
    const { fleet } = run;
    fleet.runUntil(WARM_UP_MS);
    const end = fleet.now + minutes * 60_000;
    while (fleet.now < end) {
      run.injectFault();
      const next = fleet.now + fleet.randomInt(500, MAX_FAULT_GAP_MS);
      while (fleet.now < next) {
        fleet.runUntil(fleet.now + 500);
        run.checkInvariants();
      }
    }
    fleet.runUntil(fleet.now + MAX_FAULT_MS * 2 + AGREEMENT_BOUND_MS);
    run.checkInvariants();
    run.checkAgreement();
    return verdictOf(run.tally, minutes);
  },
};
