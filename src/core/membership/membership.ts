import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';

import type { Instant, Member, NodeIdentity } from '../../model';

import { Knowledge } from './knowledge';
import { LocalHealth } from './local-health';
import type { Join, MembershipMessage } from './messages';
import { Outbox, type SendEffect } from './outbox';
import { ProbeOrder, sample } from './probe-order';
import { Prober } from './prober';
import { updateOf, type Entry } from './roster';
import { Seeds, type HostRecord } from './seeds';
import { StateExchange } from './state-exchange';
import * as timing from './timing';

export type MembershipEvent =
  /** Time has passed; wanted every 50 ms or so. */
  | { readonly kind: 'tick' }
  | { readonly kind: 'message'; readonly message: MembershipMessage }
  | { readonly kind: 'host-list'; readonly hosts: readonly HostRecord[] }
  /** This node takes no new work from now on. */
  | { readonly kind: 'leave' }
  /** This node's process is about to end. */
  | { readonly kind: 'stop' };

export type MembershipEffect =
  SendEffect | { readonly kind: 'changed'; readonly members: readonly Member[] };

export interface MembershipStep {
  readonly state: Membership;
  readonly effects: readonly MembershipEffect[];
}

/**
 * The members of the fleet as one node sees them: by probes, by probes through helpers where a
 * direct one fails, by news passed on with them, and by the platform's list of hosts.
 */
export class Membership {
  private readonly health = new LocalHealth();

  private readonly seeds = new Seeds();

  private readonly order: ProbeOrder;

  private readonly knowledge: Knowledge;

  private readonly outbox: Outbox;

  private readonly prober: Prober;

  private readonly exchange: StateExchange;

  /** The roster's version that the last `changed` effect showed. */
  private reported = 0;

  private nextSeedAt: Instant = 0;

  private nextGossipAt: Instant = 0;

  private constructor(
    readonly self: NodeIdentity,
    private lastTick: Instant,
    private readonly rng: RandomGenerator,
  ) {
    this.order = new ProbeOrder(rng);
    this.outbox = new Outbox(self);
    this.knowledge = new Knowledge(self, this.health, this.order, lastTick);
    this.exchange = new StateExchange(self, this.knowledge, this.outbox);
    this.prober = new Prober(self, this.knowledge, this.health, this.order, this.outbox, rng);
  }

  static start(self: NodeIdentity, now: Instant, rng: RandomGenerator): Membership {
    return new Membership(self, now, rng);
  }

  /** All known incarnations and this node itself, the dead ones until they are forgotten. */
  members(): readonly Member[] {
    return this.knowledge.roster.members();
  }

  /** How far this node doubts itself; 0 when it is well. */
  localHealth(): number {
    return this.health.score;
  }

  /** Changes that messages bring are reported at the next tick, together. */
  apply(event: MembershipEvent, now: Instant): MembershipStep {
    if (this.knowledge.selfEntry.state !== 'dead') this.handle(event, now);
    const sends = this.outbox.take();
    const { version } = this.knowledge.roster;
    if (event.kind === 'message' || version === this.reported)
      return { state: this, effects: sends };
    this.reported = version;
    return { state: this, effects: [...sends, { kind: 'changed', members: this.members() }] };
  }

  private handle(event: MembershipEvent, now: Instant): void {
    switch (event.kind) {
      case 'tick':
        this.tick(now);
        return;
      case 'message':
        this.receive(event.message, now);
        return;
      case 'host-list':
        this.readHosts(event.hosts, now);
        return;
      case 'leave':
        this.leave();
        return;
      case 'stop':
        this.stop();
    }
  }

  private tick(now: Instant): void {
    const gap = now - this.lastTick;
    this.lastTick = now;
    if (gap > timing.PROCESS_PAUSE_MS) this.afterPause(gap);
    this.prober.tick(now);
    this.knowledge.sweep(now);
    if (now >= this.nextSeedAt) this.trySeeds(now);
    if (now >= this.nextGossipAt && this.knowledge.gossip.hasFresh()) this.spreadNews(now);
  }

  /** What was missed during a pause of this process is no evidence against others. */
  private afterPause(gap: number): void {
    this.prober.abandon();
    this.knowledge.extendSuspicions(gap);
    this.health.worsen();
  }

  /** Reaches for listed hosts that this node does not hold live. */
  private trySeeds(now: Instant): void {
    this.nextSeedAt = now + timing.SEED_PERIOD;
    this.knowledge.forgetDead(now);
    const { roster, selfUpdate } = this.knowledge;
    const strangers = this.seeds.strangers((address) => roster.liveAt(address) !== undefined);
    if (this.knowledge.others().length > 0) {
      sample(strangers, 1, this.rng).forEach((host) => this.prober.reach(host));
      return;
    }
    sample(strangers, timing.SEEDS_AT_ONCE, this.rng).forEach((host) => {
      this.outbox.send(host, { kind: 'join', from: selfUpdate });
    });
  }

  private spreadNews(now: Instant): void {
    this.nextGossipAt = now + timing.GOSSIP_PERIOD;
    sample(this.knowledge.others(), timing.GOSSIP_FANOUT, this.rng).forEach((node) => {
      const updates = this.knowledge.newsFor(undefined);
      if (updates.length === 0) return;
      this.outbox.send(node, { kind: 'gossip', from: this.self.incarnation, updates });
    });
  }

  private receive(message: MembershipMessage, now: Instant): void {
    switch (message.kind) {
      case 'ping':
        this.prober.answer(message, now);
        this.exchange.compare(message.digest, message.from.node, now);
        return;
      case 'ack':
        this.prober.takeAck(message, now);
        return;
      case 'ping-request':
        this.prober.probeFor(message, now);
        return;
      case 'nack':
        this.prober.takeNack(message);
        return;
      case 'gossip':
        this.knowledge.learnAll(message.updates, message.from, now);
        return;
      case 'join':
        this.admit(message, now);
        return;
      case 'state':
        this.exchange.takePage(message, now);
    }
  }

  private admit({ from }: Join, now: Instant): void {
    this.knowledge.learn(from, 'first-hand', now);
    this.exchange.sendAll(from.node);
  }

  private readHosts(hosts: readonly HostRecord[], now: Instant): void {
    const { nowLeaving, gone } = this.seeds.read(hosts);
    const { roster } = this.knowledge;
    gone.forEach((host) => {
      const entry = roster.liveAt(host);
      if (entry) this.order.first(entry.node.incarnation);
    });
    nowLeaving.forEach((host) => {
      const entry = roster.liveAt(host);
      if (entry && now >= entry.knownSince + timing.HOST_LIST_LAG_MS) this.markLeaving(entry, now);
    });
  }

  private markLeaving(entry: Entry, now: Instant): void {
    if (entry.node.incarnation === this.self.incarnation) this.leave();
    else this.knowledge.learn({ ...updateOf(entry), state: 'leaving' }, 'gossip', now);
  }

  private leave(): void {
    const { state, refutation } = this.knowledge.selfEntry;
    if (state === 'alive') this.knowledge.declareSelf('leaving', refutation + 1);
  }

  private stop(): void {
    this.knowledge.declareSelf('dead', this.knowledge.selfEntry.refutation + 1);
    const updates = [this.knowledge.selfUpdate];
    sample(this.knowledge.others(), timing.FAREWELLS, this.rng).forEach((node) => {
      this.outbox.send(node, { kind: 'gossip', from: this.self.incarnation, updates });
    });
  }
}
