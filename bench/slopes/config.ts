import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

import { encodeFrame } from '../../src/adapters';
import {
  applyChange,
  ConfigState,
  type ConfigEffect,
  type ConfigEvent,
  type ConfigMessage,
} from '../../src/core';
import { peerKey, RECORD_FORMAT, type Config, type ConfigRecord } from '../../src/model';

import { retainedBytes, medianMicros, quantile, range, type Slope } from './measure';
import { inventoryOf, memberAt, routeAt, rulesOf, upstreamAt, workspaceAt } from './samples';

const FLEET_SIZES = [48, 96, 192, 384];
const TICK_INTERVAL_MS = 100;
const NETWORK_DELAY_MS = 2;
/** Time after the first change in which the fleet becomes idle. */
const SETTLE_MS = 5000;
const IDLE_WINDOW_MS = 10_000;
/** Time for which the log keeps a record. */
const RETENTION_MS = 86_400_000;
const CHANGE_COUNT = 5;
const CHANGE_INTERVAL_MS = 3000;

/** Encodes a message as a frame of a peer link. */
const frameOf = (body: ConfigMessage): Buffer =>
  encodeFrame({ t: 'msg', msg: { topic: 'config', body } });

/** A read of the log that waits for a record. */
interface PendingRead {
  readonly nodeIndex: number;
  /** Offset of the first record wanted. */
  readonly fromOffset: number;
  readonly sentAt: number;
}

/**
 * Simulates configuration followers, numbered from 0, in virtual milliseconds. A fake log answers a
 * read once it has a record, or empty when the read's wait is over.
 */
class FollowerFleet {
  now = 0;

  messageCount = 0;

  sentBytes = 0;

  readCount = 0;

  /**
   * Milliseconds from the latest publication until a node accepts a version; one entry for each.
   */
  readonly acceptLatencies: number[] = [];

  /** Scheduled actions by virtual time. */
  private readonly actionsByTime = new Map<number, (() => void)[]>();

  private readonly records: ConfigRecord[] = [];

  private pendingReads: readonly PendingRead[] = [];

  private publishedAt = 0;

  private readonly states: readonly ConfigState[];

  private readonly indexByPeer = new Map<string, number>();

  constructor(size: number) {
    const listed = range(size).map((i) => ({ ...memberAt(i), leaving: false }));
    listed.forEach((node, nodeIndex) => this.indexByPeer.set(peerKey(node), nodeIndex));
    this.states = listed.map((self, nodeIndex) => {
      const random = xoroshiro128plus(nodeIndex + 1);
      return new ConfigState({ self, retention: RETENTION_MS, random }, 0);
    });
    range(size).forEach((nodeIndex) => {
      this.handleEvent(nodeIndex, { kind: 'members', listed });
      this.scheduleTick(nodeIndex, 1 + ((nodeIndex * 7) % TICK_INTERVAL_MS));
    });
  }

  publish(record: ConfigRecord): void {
    this.records.push(record);
    this.publishedAt = this.now;
    const answerable = this.pendingReads;
    this.pendingReads = [];
    answerable.forEach((pendingRead) => this.answerRead(pendingRead));
  }

  run(until: number): void {
    while (this.now < until) {
      this.now += 1;
      const actions = this.actionsByTime.get(this.now) ?? [];
      this.actionsByTime.delete(this.now);
      actions.forEach((action) => action());
    }
  }

  private schedule(when: number, action: () => void): void {
    const actions = this.actionsByTime.get(when);
    if (actions) actions.push(action);
    else this.actionsByTime.set(when, [action]);
  }

  private scheduleTick(nodeIndex: number, when: number): void {
    this.schedule(when, () => {
      this.handleEvent(nodeIndex, { kind: 'tick' });
      this.scheduleTick(nodeIndex, this.now + TICK_INTERVAL_MS);
    });
  }

  private handleEvent(nodeIndex: number, event: ConfigEvent): void {
    const effects = this.states[nodeIndex]?.apply(event, this.now) ?? [];
    effects.forEach((effect) => this.executeEffect(nodeIndex, effect));
  }

  private executeEffect(nodeIndex: number, effect: ConfigEffect): void {
    switch (effect.kind) {
      case 'send': {
        const to = this.indexByPeer.get(peerKey(effect.to)) ?? 0;
        this.messageCount += 1;
        this.sentBytes += frameOf(effect.message).length;
        this.schedule(this.now + NETWORK_DELAY_MS, () =>
          this.handleEvent(to, { kind: 'message', message: effect.message }),
        );
        return;
      }
      case 'read-log':
        this.readLog({ nodeIndex, fromOffset: effect.from, sentAt: this.now }, effect.wait);
        return;
      case 'accepted':
        this.acceptLatencies.push(this.now - this.publishedAt);
        break;
      case 'append-checkpoint':
      case 'count':
    }
  }

  private readLog(pendingRead: PendingRead, wait: number): void {
    this.readCount += 1;
    if (pendingRead.fromOffset < this.records.length) {
      this.answerRead(pendingRead);
      return;
    }
    this.pendingReads = [...this.pendingReads, pendingRead];
    this.schedule(this.now + wait, () => {
      if (!this.pendingReads.includes(pendingRead)) return;
      this.pendingReads = this.pendingReads.filter((other) => other !== pendingRead);
      this.answerRead(pendingRead);
    });
  }

  private answerRead({ nodeIndex, fromOffset, sentAt }: PendingRead): void {
    const records = this.records
      .slice(fromOffset)
      .map((value, i) => ({ offset: fromOffset + i, value }));
    const batch = { records, first: 0, next: this.records.length };
    this.schedule(this.now + NETWORK_DELAY_MS, () =>
      this.handleEvent(nodeIndex, { kind: 'log-batch', sentAt, batch }),
    );
  }
}

const changeRecord = (base: number): ConfigRecord => ({
  kind: 'change',
  format: RECORD_FORMAT,
  publishId: `publication-${base}`,
  base,
  change: { kind: 'inventory-delta', put: [upstreamAt(base, 'service-1')], removed: [] },
});

/** Costs of following the configuration in a fleet of `size` nodes, while idle but for the last. */
interface FollowerCost {
  readonly size: number;
  /** Messages that each node sends a second. */
  readonly messages: number;
  /** Bytes that each node sends a second. */
  readonly bytes: number;
  /** Log reads a second of the whole fleet. */
  readonly reads: number;
  /** Processor time in microseconds of each node a second, fakes included. */
  readonly micros: number;
  /** Milliseconds from a publication until the change is in force, p99 over changes and nodes. */
  readonly inForceP99Ms: number;
}

const measureFollowers = (size: number): FollowerCost => {
  const fleet = new FollowerFleet(size);
  fleet.publish(changeRecord(0));
  fleet.run(SETTLE_MS);
  const { messageCount, sentBytes, readCount } = fleet;
  const start = performance.now();
  fleet.run(fleet.now + IDLE_WINDOW_MS);
  const micros = (performance.now() - start) * 1000;
  const nodeSeconds = (size * IDLE_WINDOW_MS) / 1000;
  const cost = {
    size,
    messages: (fleet.messageCount - messageCount) / nodeSeconds,
    bytes: (fleet.sentBytes - sentBytes) / nodeSeconds,
    reads: (fleet.readCount - readCount) / (IDLE_WINDOW_MS / 1000),
    micros: micros / nodeSeconds,
  };
  fleet.acceptLatencies.length = 0;
  range(CHANGE_COUNT).forEach((i) => {
    fleet.publish(changeRecord(i + 1));
    fleet.run(fleet.now + CHANGE_INTERVAL_MS);
  });
  const expected = size * CHANGE_COUNT;
  const missing = range(expected - fleet.acceptLatencies.length).map(() => Infinity);
  return { ...cost, inForceP99Ms: quantile([...fleet.acceptLatencies, ...missing], 0.99) };
};

/** Returns a configuration whose routes and workspaces grow with its upstreams. */
const configOf = (upstreams: number): Config => ({
  version: 1,
  inventory: inventoryOf(upstreams),
  rules: rulesOf(Math.round(upstreams * 0.382), Math.round(upstreams * 6.03)),
});

/**
 * Returns the bytes sent to a joining node: all entries, in frames of 250, a snapshot's part size.
 */
const snapshotBytes = (config: Config): number => {
  const entries = [
    ...config.inventory.all().map((entry) => ({ kind: 'upstream', entry }) as const),
    ...config.rules.routes.map((entry) => ({ kind: 'route', entry }) as const),
    ...config.rules.workspaces.map((entry) => ({ kind: 'workspace', entry }) as const),
  ];
  const tip = { version: 1, chain: '0'.repeat(16), through: 1 };
  return range(Math.ceil(entries.length / 250)).reduce((sum, part) => {
    const partEntries = entries.slice(part * 250, part * 250 + 250);
    const from = memberAt(0);
    return sum + frameOf({ kind: 'part', from, tip, part, parts: 1, entries: partEntries }).length;
  }, 0);
};

const changeBytes = (): number => {
  const record = changeRecord(1);
  if (record.kind !== 'change') return NaN;
  const change = { version: 2, offset: 1, record, chain: '0'.repeat(16) };
  return frameOf({ kind: 'changes', changes: [change] }).length;
};

/** Returns the time to apply a change of one route and one workspace. */
const applyMicros = (upstreams: number): number => {
  const config = configOf(upstreams);
  const none = { put: [], removed: [] };
  return medianMicros((i) => {
    applyChange(config, {
      kind: 'rules-delta',
      services: none,
      routes: { put: [{ ...routeAt(i), timeout: 9 }], removed: [] },
      workspaces: { put: [{ ...workspaceAt(i), weight: 9 }], removed: [] },
    });
  }, 10);
};

const UPSTREAM_COUNTS = [1700, 3400, 6800];

/** Measures the distribution and the application of configuration changes. */
export const configSlopes = (): readonly Slope[] => {
  const costs = FLEET_SIZES.map(measureFollowers);
  const overNodes = (what: string, unit: string, pick: (cost: FollowerCost) => number): Slope => ({
    role: 'configuration follower',
    what,
    unit,
    per: 'nodes',
    points: costs.map((cost) => [cost.size, pick(cost)]),
  });
  const overSize = (what: string, unit: string, measure: (size: number) => number): Slope => ({
    role: 'configuration follower',
    what,
    unit,
    per: 'upstreams (and 0.38 routes, 6.0 workspaces each)',
    points: UPSTREAM_COUNTS.map((size) => [size, measure(size)]),
  });
  return [
    overNodes('messages sent', '/s', ({ messages }) => messages),
    overNodes('bytes sent', 'B/s', ({ bytes }) => bytes),
    overNodes('log reads of the fleet', '/s', ({ reads }) => reads),
    overNodes('decisions, fake network and encoding included', 'us/s', ({ micros }) => micros),
    overNodes('one change in force, p99', 'ms', ({ inForceP99Ms }) => inForceP99Ms),
    overSize('configuration held', 'B', (size) => retainedBytes(() => configOf(size))),
    overSize('snapshot for a joining node', 'B', (size) => snapshotBytes(configOf(size))),
    overSize('message with one change', 'B', () => changeBytes()),
    overSize('one change applied', 'us', applyMicros),
  ];
};
