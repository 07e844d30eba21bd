import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';

import type { ListedNode } from '../../src/core';
import { peerKey, type Instant, type Millis } from '../../src/model';
import { ConfigFleet, LOG_ENDPOINT, type Endpoint, type FleetNode } from '../fakes/config-fleet';
import { ConfigOracle } from '../fakes/config-oracle';
import { TimedCuts } from '../fakes/timed-cuts';
import { VirtualTime } from '../fakes/virtual-time';

import { ConfigInvariants } from './config-invariants';
import { drawChangeRecord } from './config-changes';
import type { SoakScenario, SoakVerdict } from './scenario';

const SECOND_MS: Millis = 1000;
const MINUTE_MS: Millis = 60 * SECOND_MS;
/** Time for which the log retains a record. */
const RETENTION_MS: Millis = 2 * MINUTE_MS;
const CHECK_PERIOD_MS: Millis = 250;
/** Virtual time after the last fault in which all nodes must reach the newest version. */
const RECOVERY_TIME_MS: Millis = 40 * SECOND_MS;
const DATA_CENTRES = ['takoradi', 'sekondi', 'tarkwa'] as const;

/** Runs one seed of the scenario. */
class ConfigSimulation {
  private readonly time = new VirtualTime();

  private readonly truth = new ConfigOracle();

  private readonly cuts = new TimedCuts();

  /** Append time of each record, by offset. */
  private readonly appendedAt: Instant[] = [];

  private readonly fleet: ConfigFleet;

  private readonly invariants: ConfigInvariants;

  private readonly nodeAddresses: readonly ListedNode[];

  /** Time at which faults and publishing end. */
  private readonly faultsEndAt: Instant;

  /** Time until which the log answers slowly. */
  private logSlowUntil: Instant = 0;

  private nextOutageNotBefore: Instant = 0;

  private restarts = 0;

  constructor(
    private readonly random: RandomGenerator,
    minutes: number,
  ) {
    this.faultsEndAt = minutes * MINUTE_MS;
    const count = uniformInt(random, 3, 9);
    this.nodeAddresses = Array.from({ length: count }, (_, index) => ({
      address: '10.0.0.1',
      callerPort: 1,
      peerPort: 100 + index,
      dataCentre: DATA_CENTRES[index % DATA_CENTRES.length] ?? 'takoradi',
      leaving: false,
    }));
    this.fleet = new ConfigFleet(
      this.time,
      random,
      {
        isCut: (from, to) => this.cuts.isCut(from, to, this.time.now),
        delay: (from, to) => this.drawDelay(from, to),
        appendDelay: () => this.drawAppendDelay(),
      },
      {
        onAccepted: (node, config) => this.invariants.checkAccepted(node, config),
        onSent: () => undefined,
      },
      RETENTION_MS,
      (value) => this.noteAppended(value),
    );
    this.invariants = new ConfigInvariants(this.fleet, this.truth, this.cuts);
  }

  /** Runs the simulation and returns its counts as text; throws on a violated invariant. */
  run(): string {
    this.nodeAddresses.forEach((address) => this.fleet.start(address, this.nodeAddresses));
    this.repeatEvery(CHECK_PERIOD_MS, () => this.invariants.check(this.time.now));
    this.repeatEvery(SECOND_MS, () => this.trim());
    this.repeatEvery(SECOND_MS, () => this.drawFault());
    [0, 1].forEach(() => this.runOperator());
    this.time.runUntil(this.faultsEndAt + RECOVERY_TIME_MS);
    this.invariants.checkSettled(this.time.now);
    return this.summary();
  }

  private draw(min: number, max: number): number {
    return uniformInt(this.random, min, max);
  }

  /** Returns true with a probability of 1 in `count`. */
  private isOneIn(count: number): boolean {
    return this.draw(1, count) === 1;
  }

  private repeatEvery(period: Millis, action: () => void): void {
    this.time.after(period, () => {
      action();
      this.repeatEvery(period, action);
    });
  }

  /** Returns the delay of one message, undefined if it is lost. */
  private drawDelay(from: Endpoint, to: Endpoint): Millis | undefined {
    if (from === LOG_ENDPOINT || to === LOG_ENDPOINT) {
      return this.time.now < this.logSlowUntil ? this.draw(100, 900) : this.draw(1, 6);
    }
    if (this.isOneIn(50)) return undefined;
    return this.isOneIn(200) ? this.draw(SECOND_MS, 20 * SECOND_MS) : this.draw(1, 6);
  }

  /**
   * Returns the delay of an append, undefined if it is lost. Some appends take effect long after
   * their sender has timed out.
   */
  private drawAppendDelay(): Millis | undefined {
    if (this.isOneIn(20)) return undefined;
    return this.isOneIn(10) ? this.draw(SECOND_MS, RETENTION_MS) : this.draw(1, 200);
  }

  private noteAppended(value: unknown): void {
    this.appendedAt.push(this.time.now);
    if (!this.truth.applyRecord(value, this.time.now)) return;
    const { version } = this.truth.current;
    this.time.after(5 * SECOND_MS, () => this.invariants.checkInForce(version, this.time.now));
  }

  private trim(): void {
    const oldest = this.time.now - RETENTION_MS;
    let { first } = this.fleet.stream;
    while ((this.appendedAt[first] ?? Infinity) < oldest) first += 1;
    this.fleet.stream.trim(first);
  }

  /** Runs one operator, which publishes changes at random times until the faults end. */
  private runOperator(): void {
    this.time.after(this.draw(500, 15 * SECOND_MS), () => {
      if (this.time.now < this.faultsEndAt) this.publish();
      this.runOperator();
    });
  }

  /**
   * Publishes one change. Some are based on an outdated version, sent twice, delayed, or followed
   * by a malformed record.
   */
  private publish(): void {
    const config = this.truth.current;
    const record = drawChangeRecord(
      this.random,
      config,
      config.version - (this.isOneIn(8) ? 1 : 0),
    );
    const appends = this.isOneIn(4) ? 2 : 1;
    for (let copy = 0; copy < appends; copy++) {
      const delay = this.isOneIn(6) ? this.draw(SECOND_MS, 60 * SECOND_MS) : this.draw(1, 200);
      this.time.after(delay, () => this.fleet.append(record));
    }
    if (this.isOneIn(40)) this.fleet.append({ kind: 'change', format: this.draw(0, 2) });
  }

  private drawFault(): void {
    const { now } = this.time;
    if (now >= this.faultsEndAt || !this.isOneIn(6)) return;
    const node = this.drawNode();
    if (!node) return;
    const until = Math.min(this.faultsEndAt, now + this.draw(SECOND_MS, 40 * SECOND_MS));
    switch (this.draw(0, 7)) {
      case 0:
        this.startOutage(now, until);
        return;
      case 1:
        this.cuts.cut(node.key, LOG_ENDPOINT, until);
        return;
      case 2:
        this.cuts.cut(LOG_ENDPOINT, node.key, until);
        return;
      case 3:
        this.cutSomeLinks(node, until);
        return;
      case 4:
        this.isolateMinority(until);
        return;
      case 5:
        this.pause(node);
        return;
      case 6:
        this.restart(node);
        return;
      case 7:
        this.logSlowUntil = until;
    }
  }

  /**
   * Starts a log outage. Outages are shorter than the retention and at least a minute apart, since
   * records that are trimmed before any node has read them are lost.
   */
  private startOutage(now: Instant, until: Instant): void {
    if (now < this.nextOutageNotBefore) return;
    this.cuts.addLogOutage(now, until);
    this.nextOutageNotBefore = until + MINUTE_MS;
  }

  private drawNode(): FleetNode | undefined {
    const nodes = [...this.fleet.nodes.values()];
    return nodes[this.draw(0, nodes.length - 1)];
  }

  /** Cuts the links from one node to about half of the others. */
  private cutSomeLinks(node: FleetNode, until: Instant): void {
    this.fleet.nodes.forEach(({ key }) => {
      if (this.isOneIn(2)) this.cuts.cut(node.key, key, until);
    });
  }

  /** Cuts a minority of the nodes off from the log and from all other nodes. */
  private isolateMinority(until: Instant): void {
    const size = this.draw(1, Math.floor((this.nodeAddresses.length - 1) / 2));
    const isolated = new Set(this.nodeAddresses.slice(0, size).map(peerKey));
    const endpoints = [...this.nodeAddresses.map(peerKey), LOG_ENDPOINT];
    endpoints
      .filter((endpoint) => !isolated.has(endpoint))
      .forEach((endpoint) =>
        isolated.forEach((key) => {
          this.cuts.cut(key, endpoint, until);
          this.cuts.cut(endpoint, key, until);
        }),
      );
    isolated.forEach((key) => this.invariants.noteIsolated(key, this.time.now, until));
  }

  /** Pauses a node; some pauses outlast the retention, so that the node misses records. */
  private pause(node: FleetNode): void {
    const isLong = this.isOneIn(8);
    const length = isLong
      ? RETENTION_MS + this.draw(0, MINUTE_MS)
      : this.draw(SECOND_MS, 20 * SECOND_MS);
    const until = Math.min(this.faultsEndAt, this.time.now + length);
    node.pauseUntil(until);
    this.cuts.markUnreliable(node.key, until);
  }

  private restart(node: FleetNode): void {
    this.fleet.stop(node);
    this.restarts += 1;
    this.cuts.markUnreliable(node.key, this.time.now + 5 * SECOND_MS);
    this.fleet.start(node.address, this.nodeAddresses);
  }

  private summary(): string {
    const counts = new Map<string, number>();
    this.fleet.nodes.forEach((node) =>
      node.counts.forEach((count, what) => counts.set(what, (counts.get(what) ?? 0) + count)),
    );
    const { inForceChecks, majorityChecks, staleChecks } = this.invariants;
    const { version } = this.truth.current;
    const figures = {
      version,
      restarts: this.restarts,
      inForceChecks,
      majorityChecks,
      staleChecks,
    };
    return [...Object.entries(figures), ...counts]
      .map(([key, value]) => `${key}=${value}`)
      .join(' ');
  }
}

/** Nodes that follow the configuration under faults of the log, network, nodes and operators. */
export const configSoak: SoakScenario = {
  name: 'config',
  ciSeeds: [1, 2, 3, 4, 5, 6, 7, 8],
  run: (seed: number, minutes: number): SoakVerdict => {
    try {
      return { ok: true, detail: new ConfigSimulation(xoroshiro128plus(seed), minutes).run() };
    } catch (err) {
      return { ok: false, detail: err instanceof Error ? err.message : 'unknown' };
    }
  },
};
