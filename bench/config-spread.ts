import { pack } from 'msgpackr';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

import { packMessage, type ConfigMessage, type ListedNode } from '../src/core';
import { peerKey, type Instant, type Millis } from '../src/model';
import {
  ConfigFleet,
  LOG_ENDPOINT,
  type Endpoint,
  type FleetNode,
} from '../test/fakes/config-fleet';
import { VirtualTime } from '../test/fakes/virtual-time';

import { sampleUpstream } from './config-samples';

const MILLIS_PER_SECOND: Millis = 1000;
const CHANGE_INTERVAL_MS: Millis = 2 * MILLIS_PER_SECOND;
const FRESHNESS_CHECK_INTERVAL_MS: Millis = 100;
/** Duration of the warm-up, the first period under the fault, the idle period and the final one. */
const PHASE_DURATION_MS: Millis = 10 * MILLIS_PER_SECOND;
/** Time for which the log keeps a record. */
const RETENTION_MS: Millis = 86_400 * MILLIS_PER_SECOND;
const DATA_CENTRE_COUNT = 7;
/** Bytes that a frame on a peer link adds to the packed message. */
const FRAME_OVERHEAD_BYTES = 8;
const CALLER_PORT = 7080;
const PEER_PORT = 7081;

/** A partition between nodes and the configuration log that lasts from the warm-up on. */
export interface SpreadFault {
  readonly name: string;
  /** Share of the nodes that receive nothing from the log, 0 to 1. */
  readonly cutShare: number;
  /** Whether those nodes can still send to the log. */
  readonly isOneWay: boolean;
}

/**
 * Result of one run. Latencies run from the publication of a change until it is in force at a node.
 */
export interface SpreadResult {
  readonly nodes: number;
  readonly fault: string;
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly maxMs: number;
  /** Nodes at which the last change was not in force at the end; 0 where no change is published. */
  readonly missing: number;
  /** Bytes that the mean node sends and receives over peer links while nothing changes. */
  readonly idleBytesPerSecond: number;
  /** Bytes that the mean node sends and receives over peer links while changes are published. */
  readonly bytesPerNodeSecond: number;
  /** The same for the busiest node. */
  readonly maxBytesPerNodeSecond: number;
  /** Share of stale nodes, averaged over checks from the start of the fault on. */
  readonly staleShare: number;
  /** Processor time of one node's configuration tasks, as a share of one core; fakes included. */
  readonly cpuShare: number;
}

const listedNode = (index: number): ListedNode => ({
  address: `10.0.${index >> 8}.${index & 255}`,
  callerPort: CALLER_PORT,
  peerPort: PEER_PORT,
  dataCentre: `dc-${index % DATA_CENTRE_COUNT}`,
  leaving: false,
});

const quantile = (sorted: readonly number[], share: number): number =>
  Math.round(sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))] ?? NaN);

/** Runs a fleet in virtual time with one change every two seconds under a lasting fault. */
class SpreadRun {
  private readonly time = new VirtualTime();

  private readonly random = xoroshiro128plus(1);

  /** Publication time by version. */
  private readonly publishedAt = new Map<number, Instant>();

  /** Time from publication to being in force, one entry for each change and node. */
  private readonly latencies: Millis[] = [];

  private readonly versionInForce = new Map<FleetNode, number>();

  private readonly bytesByEndpoint = new Map<Endpoint, number>();

  private readonly cutNodes = new Set<Endpoint>();

  private readonly fleet: ConfigFleet;

  private readonly listedNodes: readonly ListedNode[];

  private isMeasuring = false;

  private idleBytes = 0;

  private freshnessChecks = 0;

  private staleChecks = 0;

  constructor(
    nodes: number,
    private readonly fault: SpreadFault,
    private readonly changeCount: number,
  ) {
    this.listedNodes = Array.from({ length: nodes }, (_, index) => listedNode(index));
    const delay = (from: Endpoint, to: Endpoint): Millis =>
      from === LOG_ENDPOINT || to === LOG_ENDPOINT
        ? uniformInt(this.random, 1, 4)
        : uniformInt(this.random, 1, 2);
    this.fleet = new ConfigFleet(
      this.time,
      this.random,
      { isCut: (from, to) => this.isCut(from, to), delay, appendDelay: () => 3 },
      {
        onAccepted: (node, { version }) => this.recordInForce(node, version),
        onSent: (from, message, to) => this.recordSent(from.key, peerKey(to), message),
      },
      RETENTION_MS,
      () => undefined,
    );
  }

  run(): SpreadResult {
    this.listedNodes.forEach((node) => this.fleet.start(node, this.listedNodes));
    this.time.runUntil(PHASE_DURATION_MS / 2);
    this.publish(1);
    this.time.runUntil(PHASE_DURATION_MS);
    const cutCount = Math.round(this.listedNodes.length * this.fault.cutShare);
    this.listedNodes.slice(0, cutCount).forEach((node) => this.cutNodes.add(peerKey(node)));
    while (this.time.now < 2 * PHASE_DURATION_MS) {
      this.time.runUntil(this.time.now + FRESHNESS_CHECK_INTERVAL_MS);
      this.checkFreshness();
    }
    this.isMeasuring = true;
    this.time.runUntil(this.time.now + PHASE_DURATION_MS);
    this.idleBytes = this.meanBytesPerNodeSecond(PHASE_DURATION_MS);
    this.bytesByEndpoint.clear();
    const cpuBefore = process.cpuUsage();
    for (let change = 0; change < this.changeCount; change++) {
      if (this.fault.cutShare < 1) this.publish(change + 2);
      this.time.runUntil(this.time.now + CHANGE_INTERVAL_MS);
      this.checkFreshness();
    }
    const cpu = process.cpuUsage(cpuBefore);
    this.isMeasuring = false;
    this.time.runUntil(this.time.now + PHASE_DURATION_MS);
    return this.result((cpu.user + cpu.system) / MILLIS_PER_SECOND);
  }

  private isCut(from: Endpoint, to: Endpoint): boolean {
    if (from === LOG_ENDPOINT) return this.cutNodes.has(to);
    return to === LOG_ENDPOINT && !this.fault.isOneWay && this.cutNodes.has(from);
  }

  private publish(version: number): void {
    this.publishedAt.set(version, this.time.now);
    const put = [sampleUpstream(uniformInt(this.random, 0, 99), version)];
    const change = { kind: 'inventory-delta', put, removed: [] } as const;
    const publishId = `publish-${version}`;
    this.fleet.append({ kind: 'change', format: 1, publishId, base: version - 1, change });
  }

  private recordInForce(node: FleetNode, version: number): void {
    const before = this.versionInForce.get(node) ?? 0;
    this.versionInForce.set(node, version);
    if (!this.isMeasuring) return;
    for (let each = before + 1; each <= version; each++) {
      const at = this.publishedAt.get(each);
      if (at !== undefined) this.latencies.push(this.time.now - at);
    }
  }

  private recordSent(from: Endpoint, to: Endpoint, message: ConfigMessage): void {
    if (!this.isMeasuring) return;
    const size =
      pack({ topic: 'config', body: packMessage(message) }).length + FRAME_OVERHEAD_BYTES;
    [from, to].forEach((end) =>
      this.bytesByEndpoint.set(end, (this.bytesByEndpoint.get(end) ?? 0) + size),
    );
  }

  private get changesDuration(): Millis {
    return this.changeCount * CHANGE_INTERVAL_MS;
  }

  private meanBytesPerNodeSecond(duration: Millis): number {
    const sum = [...this.bytesByEndpoint.values()].reduce((total, each) => total + each, 0);
    return Math.round((sum * MILLIS_PER_SECOND) / duration / this.listedNodes.length);
  }

  private checkFreshness(): void {
    this.fleet.nodes.forEach((node) => {
      this.freshnessChecks += 1;
      if (!node.isFresh(this.time.now)) this.staleChecks += 1;
    });
  }

  private result(cpuMs: Millis): SpreadResult {
    const sorted = [...this.latencies].sort((a, b) => a - b);
    const bytes = [...this.bytesByEndpoint.values()];
    const nodes = this.listedNodes.length;
    const expectedCount = this.fault.cutShare < 1 ? nodes * this.changeCount : 0;
    const incomplete = [...this.versionInForce.values()].filter(
      (version) => version < this.changeCount + 1,
    );
    return {
      nodes,
      fault: this.fault.name,
      p50Ms: quantile(sorted, 0.5),
      p99Ms: quantile(sorted, 0.99),
      maxMs: Math.round(sorted.at(-1) ?? NaN),
      missing: expectedCount === 0 ? 0 : incomplete.length,
      idleBytesPerSecond: this.idleBytes,
      bytesPerNodeSecond: this.meanBytesPerNodeSecond(this.changesDuration),
      maxBytesPerNodeSecond: Math.round(
        (Math.max(0, ...bytes) * MILLIS_PER_SECOND) / this.changesDuration,
      ),
      staleShare: Number((this.staleChecks / this.freshnessChecks).toFixed(4)),
      cpuShare: Number((cpuMs / nodes / this.changesDuration).toFixed(5)),
    };
  }
}

/** Publishes a change every two seconds and measures when each comes into force at each node. */
export const measureSpread = (nodes: number, fault: SpreadFault, changes: number): SpreadResult =>
  new SpreadRun(nodes, fault, changes).run();
