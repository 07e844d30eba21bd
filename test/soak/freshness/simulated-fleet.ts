import { feedSourceOf } from '../../../src/core/gateway';
import type { Member } from '../../../src/model';

import { KeyWorld } from './key-world';
import { SimulatedHost } from './simulated-host';
import { SimulatedStore } from './simulated-store';

const DURATION_MS = 25_000;
const STEP_MS = 5;
/** Turns of the queue of promises in which a decision that waits for nothing is made. */
const DECISION_TURNS = 8;
/** Time in milliseconds from which hosts are expected to serve. */
const SETTLED_MS = 3000;
/** Time in milliseconds after which a reader without contact is replaced. */
const REVIEW_MS = 500;
/** Time in milliseconds of undisturbed contact with the store after which a host must not refuse. */
const CONTACT_MS = 1000;
const CONFIG_APPLY_MS = 2500;
const REVOCATION_TIMES_MS = [2000, 5000, 8000];
const LOSS_RATIOS = [0, 0.05, 0.3];
const ADDRESS_PREFIX = '10.0.0.';

/** What one seed has shown. */
export interface FreshnessVerdict {
  /** Requests that ran later than the bound allows, and refusals of connected hosts. */
  readonly violations: readonly string[];
  readonly counts: Readonly<Record<string, number>>;
}

/** A fleet under random faults: cut links, a store that is down, hosts that stand still, clocks that jump. */
export class SimulatedFleet {
  private readonly world: KeyWorld;

  private readonly store: SimulatedStore;

  private readonly hosts: readonly SimulatedHost[];

  private readonly disturbedAt = new Map<SimulatedHost, number>();

  private readonly violations: string[] = [];

  private readonly counts: Record<string, number> = {};

  private nextKey = 0;

  /** Number of requests that have arrived and are not decided. */
  private undecided = 0;

  constructor(seed: number) {
    const [time = 5000] = REVOCATION_TIMES_MS.slice(seed % REVOCATION_TIMES_MS.length);
    const [loss = 0] = LOSS_RATIOS.slice(Math.floor(seed / 3) % LOSS_RATIOS.length);
    this.world = new KeyWorld(seed, time, loss);
    this.store = new SimulatedStore(this.world);
    const count = 1 + Math.floor(this.world.random() * 8);
    const centres = 1 + Math.floor(this.world.random() * 2);
    const members = Array.from({ length: count }, (_, i): Member => ({
      incarnation: `${seed}-${i}`,
      dataCentre: `dc-${i % centres}`,
      address: `${ADDRESS_PREFIX}${i}`,
      callerPort: 1,
      peerPort: 2,
      state: 'alive',
    }));
    this.hosts = members.map(
      (member) =>
        new SimulatedHost(member, this.world, this.store, {
          members: () => members,
          deliver: (from, to, body) => this.deliver(from, to, body),
          publish: (from) => this.publish(from),
        }),
    );
  }

  async run(): Promise<FreshnessVerdict> {
    this.store.write(new Set(Array.from({ length: 6 }, () => this.newKey())));
    this.hosts.forEach((host) => host.follow());
    this.every(REVIEW_MS, () => this.reviewSources());
    this.every(1500, () => this.changeKeys());
    this.every(700, () => this.disturb());
    this.hosts.forEach((host) => this.sendRequests(host));
    while (this.world.time.now < DURATION_MS) {
      this.world.time.runUntil(this.world.time.now + STEP_MS);
      for (let i = 0; i < DECISION_TURNS && this.undecided > 0; i++) await Promise.resolve();
    }
    this.counts.storeReads = this.world.storeReads;
    this.counts.datagrams = this.world.datagrams;
    return { violations: this.violations, counts: this.counts };
  }

  private every(millis: number, action: () => void): void {
    this.world.time.after(millis * this.world.between(0.5, 1.5), () => {
      action();
      this.every(millis, action);
    });
  }

  private newKey(): string {
    this.nextKey += 1;
    return `key-${this.nextKey}`;
  }

  private changeKeys(): void {
    const keys = [...this.store.keys].filter(() => !this.world.chance(0.25));
    this.store.write(new Set([...keys, this.newKey()]));
  }

  /** Sends requests to a host: many, few, or in bursts. */
  private sendRequests(host: SimulatedHost): void {
    const gap = this.world.chance(0.5) ? 30 : 1500;
    this.world.time.after(this.world.between(0, 2 * gap), () => {
      this.request(host);
      this.sendRequests(host);
    });
  }

  private request(host: SimulatedHost): void {
    const { world } = this;
    const known = [...this.store.addedAt.keys()];
    const key = world.chance(0.05)
      ? 'never'
      : (known[Math.floor(world.random() ** 0.5 * known.length)] ?? 'never');
    const sentAt = world.time.now;
    world.time.after(world.between(0.2, 40), () => {
      const arrivedAt = world.time.now;
      this.undecided += 1;
      host.serve(key, (decision) => {
        this.undecided -= 1;
        const { kind } = decision;
        const why = kind === 'allowed' ? 'allowed' : decision.reply.kind;
        this.counts[why] = (this.counts[why] ?? 0) + 1;
        if (kind === 'allowed') this.checkBound(host, key, sentAt);
        else this.checkRefusal(host, key, arrivedAt, why);
      });
    });
  }

  private checkBound(host: SimulatedHost, key: string, sentAt: number): void {
    const revokedAt = this.store.revokedAt.get(key) ?? Infinity;
    const late = sentAt - revokedAt - this.world.revocationTime;
    if (late > 0) this.violations.push(`${host.name} ran ${key}, ${late.toFixed()} ms too late`);
    if (key === 'never') this.violations.push(`${host.name} ran an unknown key`);
  }

  private checkRefusal(host: SimulatedHost, key: string, arrivedAt: number, why: string): void {
    const { now } = this.world.time;
    const disturbedAt = Math.max(this.disturbedAt.get(host) ?? 0, host.ranAgainAt);
    const isConnected =
      arrivedAt > SETTLED_MS &&
      arrivedAt - disturbedAt > CONTACT_MS &&
      !host.isStill &&
      !this.world.isCut(host.name, 'store') &&
      arrivedAt - this.world.storeDownUntil > CONTACT_MS;
    const isValid =
      arrivedAt - (this.store.addedAt.get(key) ?? now) > CONFIG_APPLY_MS &&
      !this.store.revokedAt.has(key);
    if (!isConnected) return;
    if (why === 'refused' || isValid) {
      this.violations.push(
        `${host.name} answered ${why} at ${now.toFixed()} ms, although connected`,
      );
    }
  }

  private deliver(from: SimulatedHost, address: string, body: unknown): void {
    const { world } = this;
    const to = this.hosts.find(({ name }) => name === address);
    world.datagrams += 1;
    if (!to || world.isCut(from.name, to.name)) return;
    if (world.chance(world.lossRatio)) return;
    const copies = world.chance(0.02) ? 2 : 1;
    for (let i = 0; i < copies; i++) {
      world.time.after(world.datagramDelay(), () => to.input(() => to.exchange.onMessage(body)));
    }
  }

  private publish(from: SimulatedHost): void {
    const { position } = from;
    this.hosts
      .filter((host) => host.source === from && !this.world.isCut(host.name, from.name))
      .forEach((host) =>
        this.world.time.after(this.world.between(0.2, 30), () =>
          host.input(() => host.applyRelayed(position)),
        ),
      );
  }

  /** Connects the hosts to their readers, or has them read at the store. */
  private reviewSources(): void {
    const members = this.hosts.map(({ member }) => member);
    this.hosts.forEach((host) => {
      const choice = feedSourceOf(host.member.incarnation, host.member.dataCentre, members);
      const readers = choice.kind === 'store' ? [] : choice.readers;
      const source = readers
        .map((reader) => this.hosts.find(({ member }) => member === reader))
        .find(
          (reader) =>
            reader?.isInContact === true &&
            !reader.isStill &&
            !this.world.isCut(reader.name, host.name),
        );
      Object.assign(host, { source });
      if (source) host.input(() => host.applyRelayed(source.position));
      else host.input(() => host.follow());
    });
  }

  /** Begins a fault of random kind and length. */
  private disturb(): void {
    const { world } = this;
    const host = this.hosts[Math.floor(world.random() * this.hosts.length)];
    const other = this.hosts[Math.floor(world.random() * this.hosts.length)];
    if (!host || !other) return;
    const length = world.between(50, world.chance(0.3) ? 12_000 : 2500);
    const kind = Math.floor(world.random() * 7);
    switch (kind) {
      case 0:
        this.cutLink(host, 'store', length);
        return;
      case 1:
        this.cutLink(host, other.name, length);
        return;
      case 2:
        this.hosts.forEach((peer) => this.cutLink(host, peer.name, length));
        this.cutLink(host, 'store', length);
        return;
      case 3:
      case 4:
        host.stop();
        world.time.after(length, () => host.resume(kind === 4));
        return;
      case 5:
        // A clock that is set back between two readings may hide a suspension between the same two.
        if (!host.isStill) host.wallOffset += world.between(-10_000, 10_000);
        return;
      default:
        if (world.chance(0.3)) {
          world.storeDownUntil = Math.max(world.storeDownUntil, world.time.now + length);
        }
    }
  }

  private cutLink(host: SimulatedHost, to: string, length: number): void {
    const { world } = this;
    if (host.name === to) return;
    world.setCut(host.name, to, true);
    world.time.after(length, () => {
      world.setCut(host.name, to, false);
      this.disturbedAt.set(host, world.time.now);
    });
  }
}
