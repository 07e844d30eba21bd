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
import { drawRecord } from './config-operators';
import type { SoakScenario, SoakVerdict } from './scenario';

const SECOND: Millis = 1000;
const MINUTE: Millis = 60 * SECOND;
const RETENTION: Millis = 2 * MINUTE;
const CHECK_EVERY: Millis = 250;
const HEAL_FOR: Millis = 40 * SECOND;
const DATA_CENTRES = ['takoradi', 'sekondi', 'tarkwa'] as const;

/** One seed of the scenario. */
class ConfigRun {
  private readonly time = new VirtualTime();

  private readonly truth = new ConfigOracle();

  private readonly cuts = new TimedCuts();

  private readonly appendedAt: Instant[] = [];

  private readonly fleet: ConfigFleet;

  private readonly invariants: ConfigInvariants;

  private readonly listed: readonly ListedNode[];

  private readonly healAt: Instant;

  private slowUntil: Instant = 0;

  private noOutageBefore: Instant = 0;

  private restarts = 0;

  constructor(
    private readonly random: RandomGenerator,
    minutes: number,
  ) {
    this.healAt = minutes * MINUTE;
    const count = uniformInt(random, 3, 9);
    this.listed = Array.from({ length: count }, (_, index) => ({
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
        onAccepted: (node, config) => this.invariants.accepted(node, config),
        onSent: () => undefined,
      },
      RETENTION,
      (value) => this.noteAppended(value),
    );
    this.invariants = new ConfigInvariants(this.fleet, this.truth, this.cuts);
  }

  run(): string {
    this.listed.forEach((address) => this.fleet.start(address, this.listed));
    this.every(CHECK_EVERY, () => this.invariants.check(this.time.now));
    this.every(SECOND, () => this.trim());
    this.every(SECOND, () => this.drawFault());
    [0, 1].forEach(() => this.operate());
    this.time.runUntil(this.healAt + HEAL_FOR);
    this.invariants.checkSettled(this.time.now);
    return this.summary();
  }

  private draw(min: number, max: number): number {
    return uniformInt(this.random, min, max);
  }

  private isOneIn(count: number): boolean {
    return this.draw(1, count) === 1;
  }

  private every(period: Millis, action: () => void): void {
    this.time.after(period, () => {
      action();
      this.every(period, action);
    });
  }

  private drawDelay(from: Endpoint, to: Endpoint): Millis | undefined {
    if (from === LOG_ENDPOINT || to === LOG_ENDPOINT) {
      return this.time.now < this.slowUntil ? this.draw(100, 900) : this.draw(1, 6);
    }
    if (this.isOneIn(50)) return undefined;
    return this.isOneIn(200) ? this.draw(SECOND, 20 * SECOND) : this.draw(1, 6);
  }

  /** How long an append is on its way; some take effect long after their sender gave up. */
  private drawAppendDelay(): Millis | undefined {
    if (this.isOneIn(20)) return undefined;
    return this.isOneIn(10) ? this.draw(SECOND, RETENTION) : this.draw(1, 200);
  }

  private noteAppended(value: unknown): void {
    this.appendedAt.push(this.time.now);
    if (!this.truth.applyRecord(value, this.time.now)) return;
    const { version } = this.truth.current;
    this.time.after(5 * SECOND, () => this.invariants.checkInForce(version, this.time.now));
  }

  private trim(): void {
    const oldest = this.time.now - RETENTION;
    let { first } = this.fleet.stream;
    while ((this.appendedAt[first] ?? Infinity) < oldest) first += 1;
    this.fleet.stream.trim(first);
  }

  /** One operator: publishes what it last saw, with answers lost and appends held back. */
  private operate(): void {
    this.time.after(this.draw(500, 15 * SECOND), () => {
      if (this.time.now < this.healAt) this.publish();
      this.operate();
    });
  }

  private publish(): void {
    const config = this.truth.current;
    const record = drawRecord(this.random, config, config.version - (this.isOneIn(8) ? 1 : 0));
    const appends = this.isOneIn(4) ? 2 : 1;
    for (let copy = 0; copy < appends; copy++) {
      const held = this.isOneIn(6) ? this.draw(SECOND, 60 * SECOND) : this.draw(1, 200);
      this.time.after(held, () => this.fleet.append(record));
    }
    if (this.isOneIn(40)) this.fleet.append({ kind: 'change', format: this.draw(0, 2) });
  }

  private drawFault(): void {
    const { now } = this.time;
    if (now >= this.healAt || !this.isOneIn(6)) return;
    const node = this.drawNode();
    if (!node) return;
    const until = Math.min(this.healAt, now + this.draw(SECOND, 40 * SECOND));
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
        this.cutSome(node, until);
        return;
      case 4:
        this.separate(until);
        return;
      case 5:
        this.pause(node);
        return;
      case 6:
        this.restart(node);
        return;
      case 7:
        this.slowUntil = until;
    }
  }

  /** Outages stay well under the retention: news trimmed before anyone read it is lost for good. */
  private startOutage(now: Instant, until: Instant): void {
    if (now < this.noOutageBefore) return;
    this.cuts.addLogOutage(now, until);
    this.noOutageBefore = until + MINUTE;
  }

  private drawNode(): FleetNode | undefined {
    const nodes = [...this.fleet.nodes.values()];
    return nodes[this.draw(0, nodes.length - 1)];
  }

  private cutSome(node: FleetNode, until: Instant): void {
    this.fleet.nodes.forEach(({ key }) => {
      if (this.isOneIn(2)) this.cuts.cut(node.key, key, until);
    });
  }

  /** Cuts a minority off from the log and from all others. */
  private separate(until: Instant): void {
    const size = this.draw(1, Math.floor((this.listed.length - 1) / 2));
    const away = new Set(this.listed.slice(0, size).map(peerKey));
    const ends = [...this.listed.map(peerKey), LOG_ENDPOINT];
    ends
      .filter((end) => !away.has(end))
      .forEach((end) =>
        away.forEach((key) => {
          this.cuts.cut(key, end, until);
          this.cuts.cut(end, key, until);
        }),
      );
    away.forEach((key) => this.invariants.separated(key, this.time.now, until));
  }

  private pause(node: FleetNode): void {
    const isLong = this.isOneIn(8);
    const length = isLong ? RETENTION + this.draw(0, MINUTE) : this.draw(SECOND, 20 * SECOND);
    const until = Math.min(this.healAt, this.time.now + length);
    node.pauseUntil(until);
    this.cuts.markUnreliable(node.key, until);
  }

  private restart(node: FleetNode): void {
    this.fleet.stop(node);
    this.restarts += 1;
    this.cuts.markUnreliable(node.key, this.time.now + 5 * SECOND);
    this.fleet.start(node.address, this.listed);
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

/** Several nodes follow the configuration under faults of log, network, nodes and operators. */
export const configSoak: SoakScenario = {
  name: 'config',
  ciSeeds: [1, 2, 3, 4, 5, 6, 7, 8],
  run: (seed: number, minutes: number): SoakVerdict => {
    try {
      return { ok: true, detail: new ConfigRun(xoroshiro128plus(seed), minutes).run() };
    } catch (err) {
      return { ok: false, detail: err instanceof Error ? err.message : 'unknown' };
    }
  },
};
