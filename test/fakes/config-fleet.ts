import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';

import {
  ConfigState,
  type ConfigCount,
  type ConfigEffect,
  type ConfigEvent,
  type ConfigMessage,
  type ListedNode,
} from '../../src/core';
import {
  peerKey,
  type CheckpointRecord,
  type Config,
  type Instant,
  type Millis,
  type NodeAddress,
} from '../../src/model';

import { StreamStore } from './stream-store';
import type { VirtualTime } from './virtual-time';

/** Interval of the tick events of each node. */
const TICK_MS: Millis = 100;
/** Time after the end of a long poll at which a node gives the read up. */
const LOG_TIMEOUT_MS: Millis = 2000;
const MAX_RECORDS_PER_READ = 20;
/** Maximum offset of a node's clock from the virtual time. */
const MAX_CLOCK_OFFSET_MS = 1_000_000;

/** One end of a network link: a node, by its peer key, or the log. */
export type Endpoint = string;

export const LOG_ENDPOINT: Endpoint = 'log';

/** Faults and delays of the network and the log, which a test controls. */
export interface FleetFaults {
  /** Returns whether all messages from one endpoint to another are lost. */
  isCut(from: Endpoint, to: Endpoint): boolean;
  /** Returns the delay of one message; undefined when the message is lost. */
  delay(from: Endpoint, to: Endpoint): Millis | undefined;
  /** Returns the delay of an append; undefined when the append is lost. */
  appendDelay(): Millis | undefined;
}

/** Callbacks on the actions of nodes. */
export interface FleetObserver {
  onAccepted(node: FleetNode, config: Config): void;
  onSent(from: FleetNode, message: ConfigMessage, to: NodeAddress): void;
}

/** One node of the fleet: its configuration state, and a clock with an offset of its own. */
export class FleetNode {
  readonly state: ConfigState;

  readonly counts = new Map<ConfigCount, number>();

  private pauseEnd: Instant = 0;

  private isStopped = false;

  private readonly clockOffset: Millis;

  constructor(
    readonly address: ListedNode,
    readonly startedAt: Instant,
    random: RandomGenerator,
    retention: Millis,
  ) {
    this.clockOffset = uniformInt(random, 0, MAX_CLOCK_OFFSET_MS);
    this.state = new ConfigState({ self: address, retention, random }, this.localTime(startedAt));
  }

  get stopped(): boolean {
    return this.isStopped;
  }

  get key(): Endpoint {
    return peerKey(this.address);
  }

  /** Returns the reading of the node's clock at an instant of virtual time. */
  localTime(now: Instant): Instant {
    return now + this.clockOffset;
  }

  /** Returns whether the configuration is fresh at an instant of virtual time. */
  isFresh(now: Instant): boolean {
    return this.state.freshness(this.localTime(now)) !== 'stale';
  }

  /** End of the pause during which the node neither runs nor answers, in virtual time. */
  get pausedUntil(): Instant {
    return this.pauseEnd;
  }

  pauseUntil(instant: Instant): void {
    this.pauseEnd = Math.max(this.pauseEnd, instant);
  }

  stop(): void {
    this.isStopped = true;
  }

  count(name: ConfigCount): void {
    this.counts.set(name, (this.counts.get(name) ?? 0) + 1);
  }
}

/** Nodes' configuration states, joined by an in-memory log and network in virtual time. */
export class ConfigFleet {
  readonly stream = new StreamStore(MAX_RECORDS_PER_READ);

  readonly nodes = new Map<Endpoint, FleetNode>();

  private readonly waitingReads = new Set<() => void>();

  constructor(
    private readonly time: VirtualTime,
    private readonly random: RandomGenerator,
    private readonly faults: FleetFaults,
    private readonly observer: FleetObserver,
    private readonly retention: Millis,
    private readonly onAppend: (value: unknown) => void,
  ) {}

  /** Starts a node that knows the members `listed`. */
  start(address: ListedNode, listed: readonly ListedNode[]): FleetNode {
    const seed = uniformInt(this.random, 0, 0x7fffffff);
    const node = new FleetNode(address, this.time.now, xoroshiro128plus(seed), this.retention);
    this.nodes.set(node.key, node);
    this.apply(node, { kind: 'members', listed });
    this.tick(node);
    return node;
  }

  stop(node: FleetNode): void {
    node.stop();
    this.nodes.delete(node.key);
  }

  /** Hands a new list of members to every node. */
  updateListedNodes(listed: readonly ListedNode[]): void {
    this.nodes.forEach((node) => this.apply(node, { kind: 'members', listed }));
  }

  /** Appends a value to the log and answers the waiting reads. Returns the offset. */
  append(value: unknown): number {
    const offset = this.stream.append(value);
    this.onAppend(value);
    this.waitingReads.forEach((wake) => wake());
    return offset;
  }

  private tick(node: FleetNode): void {
    if (node.stopped) return;
    this.apply(node, { kind: 'tick' });
    this.time.at(Math.max(this.time.now + TICK_MS, node.pausedUntil), () => this.tick(node));
  }

  /** Applies an event to a node, after its pause when it is paused. */
  private apply(node: FleetNode, event: ConfigEvent): void {
    if (node.stopped) return;
    if (this.time.now < node.pausedUntil) {
      this.time.at(node.pausedUntil, () => this.apply(node, event));
      return;
    }
    const effects = node.state.apply(event, node.localTime(this.time.now));
    effects.forEach((effect) => this.performEffect(node, effect));
  }

  private performEffect(node: FleetNode, effect: ConfigEffect): void {
    switch (effect.kind) {
      case 'read-log':
        this.read(node, effect.from, effect.wait);
        return;
      case 'append-checkpoint':
        this.appendCheckpoint(node, effect.record);
        return;
      case 'send':
        this.observer.onSent(node, effect.message, effect.to);
        this.send(node, effect.to, effect.message);
        return;
      case 'accepted':
        this.observer.onAccepted(node, effect.config);
        return;
      case 'count':
        node.count(effect.what);
    }
  }

  /** Runs `action` when a message between the endpoints arrives; never when it is lost. */
  private deliver(from: Endpoint, to: Endpoint, action: () => void): void {
    if (this.faults.isCut(from, to)) return;
    const delay = this.faults.delay(from, to);
    if (delay !== undefined) this.time.after(delay, action);
  }

  private send(node: FleetNode, to: NodeAddress, message: ConfigMessage): void {
    const key = peerKey(to);
    this.deliver(node.key, key, () => {
      const receiver = this.nodes.get(key);
      if (receiver) this.apply(receiver, { kind: 'message', message });
    });
  }

  private appendCheckpoint(node: FleetNode, record: CheckpointRecord): void {
    const delay = this.faults.appendDelay();
    if (delay === undefined || this.faults.isCut(node.key, LOG_ENDPOINT)) return;
    this.time.after(delay, () => this.append(record));
  }

  private read(node: FleetNode, from: number, wait: Millis): void {
    const sentAt = node.localTime(this.time.now);
    let settled = false;
    const settle = (event: ConfigEvent): void => {
      if (settled) return;
      settled = true;
      this.apply(node, event);
    };
    const answer = (): void => {
      const event = this.stream.read(from).caseOf<ConfigEvent>({
        Left: (err) =>
          err.kind === 'log-trimmed'
            ? { kind: 'log-trimmed', first: err.first }
            : { kind: 'log-failed' },
        Right: (batch) => ({ kind: 'log-batch', sentAt, batch }),
      });
      this.deliver(LOG_ENDPOINT, node.key, () => settle(event));
    };
    this.deliver(node.key, LOG_ENDPOINT, () => this.answerWhenReady(from, wait, answer));
    this.time.after(wait + LOG_TIMEOUT_MS, () => settle({ kind: 'log-failed' }));
  }

  /** Runs `answer` when the log has a record at `from`, or after `wait`. */
  private answerWhenReady(from: number, wait: Millis, answer: () => void): void {
    if (from < this.stream.next) {
      answer();
      return;
    }
    const wake = (): void => {
      if (this.waitingReads.delete(wake)) answer();
    };
    this.waitingReads.add(wake);
    this.time.after(wait, wake);
  }
}
