import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';

import {
  decodeMembershipMessage,
  Membership,
  type HostRecord,
  type MembershipEvent,
  type MembershipMessage,
} from '../../src/core';
import { peerKey, type Incarnation, type Instant, type NodeIdentity } from '../../src/model';

/** Interval of the tick events of each node. */
const TICK_MS = 50;
const MAX_UPDATES_PER_MESSAGE = 60;
/** Interval at which each node reads the host list. */
const HOST_LIST_PERIOD_MS = 5000;
/** Time until a change shows in the host list. */
const HOST_LIST_LAG_MS = 20_000;

/** One process of the fleet and its faults. */
export interface FakeNode {
  /** Number of the simulated host that the process runs on. */
  readonly place: number;
  readonly identity: NodeIdentity;
  readonly membership: Membership;
  /** End of the pause during which the process does not run. */
  frozenUntil: Instant;
  stopped: boolean;
  /** Whether the process has announced that it leaves. */
  leaving: boolean;
}

/** Returns whether a message between two simulated hosts is lost. */
export type IsMessageLost = (from: number, to: number) => boolean;

/** Is called for every message that is sent, also for one that is lost afterwards. */
export type SendObserver = (from: FakeNode, message: MembershipMessage) => void;

/**
 * Membership of nodes on a simulated network in virtual time; each host runs at most one process.
 */
export class MembershipFleet {
  now: Instant = 0;

  /** Losses in force; a message is lost when one of them says so. */
  readonly cuts = new Set<IsMessageLost>();

  /** Number of messages lost out of 1000, chosen at random. */
  lossPerMille = 0;

  onSend: SendObserver | undefined;

  /** Called after each step of a node that changed its members. */
  onChanged: ((node: FakeNode) => void) | undefined;

  readonly rng: RandomGenerator;

  private readonly nodes = new Map<number, FakeNode>();

  private readonly actionsByInstant = new Map<Instant, (() => void)[]>();

  private startedCount = 0;

  private hostLists: { readonly at: Instant; readonly hosts: readonly HostRecord[] }[] = [];

  constructor(
    seed: number,
    private readonly dataCentres: readonly string[],
  ) {
    this.rng = xoroshiro128plus(seed);
  }

  dataCentreOf(place: number): string {
    return this.dataCentres[place % this.dataCentres.length] ?? '';
  }

  node(place: number): FakeNode | undefined {
    return this.nodes.get(place);
  }

  runningNodes(): readonly FakeNode[] {
    return [...this.nodes.values()];
  }

  isRunning(incarnation: Incarnation): boolean {
    return this.runningNodes().some(({ identity }) => identity.incarnation === incarnation);
  }

  /** Starts a new process on a host, with an incarnation of its own. */
  start(place: number): FakeNode {
    this.startedCount += 1;
    const identity: NodeIdentity = {
      incarnation: `${this.startedCount.toString(16).padStart(4, '0')}c2f1a9b07d3e`,
      dataCentre: this.dataCentreOf(place),
      address: `10.0.${place >> 8}.${place & 255}`,
      callerPort: 8080,
      peerPort: 8081,
    };
    const membership = Membership.start(
      identity,
      this.now,
      xoroshiro128plus(this.randomInt(0, 2 ** 30)),
    );
    const node = {
      place,
      identity,
      membership,
      frozenUntil: 0,
      stopped: false,
      leaving: false,
    };
    this.nodes.set(place, node);
    this.recordHostList();
    this.schedulePeriodic(TICK_MS, node, () => this.applyEvent(node, { kind: 'tick' }));
    this.applyEvent(node, { kind: 'host-list', hosts: this.laggedHostList() });
    this.schedulePeriodic(HOST_LIST_PERIOD_MS, node, () => {
      this.applyEvent(node, { kind: 'host-list', hosts: this.laggedHostList() });
    });
    return node;
  }

  /** Makes all running nodes know each other as alive. */
  introduceAll(): void {
    const from = 'introduction';
    const updates = this.runningNodes().map(
      ({ identity }) => ({ node: identity, state: 'alive', refutation: 0 }) as const,
    );
    for (let start = 0; start < updates.length; start += MAX_UPDATES_PER_MESSAGE) {
      const page = updates.slice(start, start + MAX_UPDATES_PER_MESSAGE);
      const message = { kind: 'state', from, replyWanted: false, updates: page } as const;
      this.runningNodes().forEach((node) => this.applyEvent(node, { kind: 'message', message }));
    }
  }

  /** Ends a process without notice. */
  kill(place: number): void {
    const node = this.nodes.get(place);
    if (node) node.stopped = true;
    this.nodes.delete(place);
    this.recordHostList();
  }

  /**
   * Pauses a process; at the end of the pause timers run before messages, as they do in Node.js.
   */
  freeze(place: number, until: Instant): void {
    const node = this.nodes.get(place);
    if (!node) return;
    node.frozenUntil = until;
    this.at(until, () => this.applyEvent(node, { kind: 'tick' }));
  }

  /** Makes a process announce that it leaves; it goes on running. */
  leave(place: number): void {
    const node = this.nodes.get(place);
    if (!node) return;
    node.leaving = true;
    this.recordHostList();
    this.applyEvent(node, { kind: 'leave' });
  }

  /** Ends a process, which sends its last messages first. */
  stop(place: number): void {
    const node = this.nodes.get(place);
    if (node) this.applyEvent(node, { kind: 'stop' });
    this.kill(place);
  }

  /** Schedules an action, not earlier than the next millisecond. */
  at(instant: Instant, action: () => void): void {
    const due = Math.max(this.now + 1, Math.ceil(instant));
    const actions = this.actionsByInstant.get(due);
    if (actions) actions.push(action);
    else this.actionsByInstant.set(due, [action]);
  }

  /** Advances the virtual time to `end`, a millisecond at a time, and runs what is due. */
  runUntil(end: Instant): void {
    while (this.now < end) {
      this.now += 1;
      const actions = this.actionsByInstant.get(this.now) ?? [];
      this.actionsByInstant.delete(this.now);
      actions.forEach((action) => action());
    }
  }

  /** Returns a uniform random integer from `min` to `max`, both included. */
  randomInt(min: number, max: number): number {
    return uniformInt(this.rng, min, max);
  }

  /** Runs an action every `period`, from a random phase on, until the process stops. */
  private schedulePeriodic(period: number, node: FakeNode, action: () => void): void {
    const repeat = (): void => {
      if (node.stopped) return;
      action();
      this.at(this.now + period, repeat);
    };
    this.at(this.now + this.randomInt(1, period), repeat);
  }

  /** Applies an event; a paused node handles its messages in order when the pause ends. */
  private applyEvent(node: FakeNode, event: MembershipEvent): void {
    if (node.stopped) return;
    if (this.now < node.frozenUntil) {
      if (event.kind !== 'tick') this.at(node.frozenUntil, () => this.applyEvent(node, event));
      return;
    }
    const { effects } = node.membership.apply(event, this.now);
    effects.forEach((effect) => {
      if (effect.kind === 'changed') this.onChanged?.(node);
      else this.deliver(node, peerKey(effect.to), effect.message);
    });
  }

  private deliver(from: FakeNode, to: string, message: MembershipMessage): void {
    this.onSend?.(from, message);
    const [, , high, low] = to.split(/[.:]/);
    const place = Number(high) * 256 + Number(low);
    if ([...this.cuts].some((cut) => cut(from.place, place))) return;
    if (this.lossPerMille > 0 && this.randomInt(1, 1000) <= this.lossPerMille) return;
    const decoded = decodeMembershipMessage(message).unsafeCoerce();
    this.at(this.now + this.randomInt(1, 3), () => {
      const node = this.nodes.get(place);
      if (node) this.applyEvent(node, { kind: 'message', message: decoded });
    });
  }

  /** Records the hosts of now and drops what the lag no longer needs. */
  private recordHostList(): void {
    const hosts = this.runningNodes().map(({ identity, leaving }) => ({ ...identity, leaving }));
    this.hostLists.push({ at: this.now, hosts });
    const firstNeeded = this.hostLists.findLastIndex(({ at }) => at <= this.now - HOST_LIST_LAG_MS);
    this.hostLists = this.hostLists.slice(Math.max(0, firstNeeded));
  }

  /** Returns the hosts that ran `HOST_LIST_LAG_MS` ago; before that, the hosts of the start. */
  private laggedHostList(): readonly HostRecord[] {
    const known = this.hostLists.findLast(({ at }) => at <= this.now - HOST_LIST_LAG_MS);
    const first = this.hostLists.findLast(({ at }) => at === 0);
    return (known ?? first)?.hosts ?? [];
  }
}
