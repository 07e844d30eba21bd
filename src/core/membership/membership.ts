import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';

import type { Instant, Member, Millis, NodeIdentity } from '../../model';

import { MembershipView } from './membership-view';
import { LocalHealth } from './local-health';
import type { Join, MembershipMessage } from './messages';
import { Outbox, type SendEffect } from './outbox';
import { ProbeOrder, sample } from './probe-order';
import { Prober } from './prober';
import { updateOf, type RosterEntry } from './roster';
import { Seeds, type HostRecord } from './seeds';
import { StateExchange } from './state-exchange';
import * as timing from './timing';

/** Lists what can happen to a node's membership. */
export type MembershipEvent =
  /** Time has passed. Timeouts are checked only here, so about every 50 ms is expected. */
  | { readonly kind: 'tick' }
  | { readonly kind: 'message'; readonly message: MembershipMessage }
  | { readonly kind: 'host-list'; readonly hosts: readonly HostRecord[] }
  /** This node accepts no new work from now on. */
  | { readonly kind: 'leave' }
  /** This node's process is about to end. */
  | { readonly kind: 'stop' };

/** Lists what the caller has to do after an event: send a message, or report changed members. */
export type MembershipEffect =
  SendEffect | { readonly kind: 'changed'; readonly members: readonly Member[] };

export interface MembershipStep {
  readonly state: Membership;
  readonly effects: readonly MembershipEffect[];
}

/**
 * Tracks the members of the fleet as one node sees them, after the SWIM protocol: by direct
 * probes, by probes through helpers where a direct one stays unanswered, by updates gossiped with
 * them, and by the platform's host list.
 */
export class Membership {
  private readonly health = new LocalHealth();

  private readonly seeds = new Seeds();

  private readonly probeOrder: ProbeOrder;

  private readonly view: MembershipView;

  private readonly outbox: Outbox;

  private readonly prober: Prober;

  private readonly stateExchange: StateExchange;

  /** Roster version that the last `changed` effect reported. */
  private reportedVersion = 0;

  private nextSeedAt: Instant = 0;

  private nextGossipAt: Instant = 0;

  /** Time in milliseconds until seeds are contacted again while this node knows no other one. */
  private joinPeriod: Millis = timing.INITIAL_JOIN_PERIOD_MS;

  private constructor(
    readonly self: NodeIdentity,
    private lastTickAt: Instant,
    private readonly rng: RandomGenerator,
  ) {
    this.probeOrder = new ProbeOrder(rng, (near) => this.view.roster.liveOf(self, near));
    this.outbox = new Outbox(self);
    this.view = new MembershipView(self, this.health, this.probeOrder, lastTickAt);
    this.stateExchange = new StateExchange(self, this.view, this.outbox);
    this.prober = new Prober(self, this.view, this.health, this.probeOrder, this.outbox, rng);
  }

  static start(self: NodeIdentity, now: Instant, rng: RandomGenerator): Membership {
    return new Membership(self, now, rng);
  }

  /** Returns all known incarnations, this node included; dead ones until they are forgotten. */
  members(): readonly Member[] {
    return this.view.roster.members();
  }

  /** Returns the local health score: 0 when healthy, up to `MAX_LOCAL_HEALTH_SCORE`. */
  localHealth(): number {
    return this.health.score;
  }

  /**
   * Applies an event and returns its effects. Changes made by messages are reported together at
   * the next other event, usually a tick. A stopped node ignores all events.
   */
  apply(event: MembershipEvent, now: Instant): MembershipStep {
    if (this.view.selfEntry.state !== 'dead') this.handle(event, now);
    const sends = this.outbox.take();
    const { version } = this.view.roster;
    if (event.kind === 'message' || version === this.reportedVersion)
      return { state: this, effects: sends };
    this.reportedVersion = version;
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
        this.updateHosts(event.hosts, now);
        return;
      case 'leave':
        this.leave();
        return;
      case 'stop':
        this.stop();
    }
  }

  private tick(now: Instant): void {
    const gap = now - this.lastTickAt;
    this.lastTickAt = now;
    if (gap > timing.PROCESS_PAUSE_MS) this.afterPause(gap);
    this.prober.tick(now);
    this.view.expireSuspicions(now);
    if (now >= this.nextSeedAt) this.contactSeeds(now);
    if (now >= this.nextGossipAt && this.view.gossip.hasUnsent()) this.sendGossip(now);
  }

  /** Drops running probes: answers missed while this process was paused prove no failure. */
  private afterPause(gap: number): void {
    this.prober.abandon();
    this.view.extendSuspicions(gap);
    this.health.worsen();
  }

  /**
   * Contacts listed hosts at which this node knows no live process: one by a ping, or, while it
   * knows no other node, several by a request for the whole state.
   */
  private contactSeeds(now: Instant): void {
    const isAlone = this.view.unsuspectedPeers().length === 0;
    this.nextSeedAt = now + (isAlone ? this.joinPeriod : timing.SEED_PERIOD_MS);
    this.joinPeriod = isAlone
      ? Math.min(timing.SEED_PERIOD_MS, 2 * this.joinPeriod)
      : timing.SEED_PERIOD_MS;
    this.view.forgetDead(now);
    const { roster, selfUpdate } = this.view;
    const unknownHosts = this.seeds.unknownHosts((address) => roster.liveAt(address) !== undefined);
    if (!isAlone) {
      sample(unknownHosts, 1, this.rng).forEach((host) => this.prober.pingAddress(host));
      return;
    }
    sample(unknownHosts, timing.JOIN_REQUEST_COUNT, this.rng).forEach((host) => {
      this.outbox.send(host, { kind: 'join', from: selfUpdate });
    });
  }

  private sendGossip(now: Instant): void {
    this.nextGossipAt = now + timing.GOSSIP_PERIOD_MS;
    const peers = this.view.unsuspectedPeers();
    const near = peers.filter(({ dataCentre }) => dataCentre === this.self.dataCentre);
    const targets = new Set([...sample(near, 1, this.rng), ...sample(peers, 1, this.rng)]);
    targets.forEach((node) => {
      const updates = this.view.updatesFor(undefined);
      if (updates.length === 0) return;
      this.outbox.send(node, { kind: 'gossip', from: this.self.incarnation, updates });
    });
  }

  private receive(message: MembershipMessage, now: Instant): void {
    switch (message.kind) {
      case 'ping':
        this.prober.answerPing(message, now);
        this.stateExchange.compareDigest(message.digest, message.from.node, now);
        return;
      case 'ack':
        this.prober.takeAck(message, now);
        return;
      case 'ping-request':
        this.prober.relayPing(message, now);
        return;
      case 'nack':
        this.prober.takeNack(message);
        return;
      case 'gossip':
        this.view.mergeAll(message.updates, message.from, now);
        return;
      case 'join':
        this.handleJoin(message, now);
        return;
      case 'state':
        this.stateExchange.takePage(message, now);
    }
  }

  private handleJoin({ from }: Join, now: Instant): void {
    this.view.merge(from, 'first-hand', now);
    this.stateExchange.sendAllPages(from.node);
  }

  private updateHosts(hosts: readonly HostRecord[], now: Instant): void {
    const { startedLeaving, removed } = this.seeds.update(hosts);
    const { roster } = this.view;
    removed.forEach((host) => {
      const entry = roster.liveAt(host);
      if (entry) this.probeOrder.prioritize(entry.node.incarnation);
    });
    startedLeaving.forEach((host) => {
      const entry = roster.liveAt(host);
      if (entry && now >= entry.knownSince + timing.HOST_LIST_LAG_MS) this.markLeaving(entry, now);
    });
  }

  private markLeaving(entry: RosterEntry, now: Instant): void {
    if (entry.node.incarnation === this.self.incarnation) this.leave();
    else this.view.merge({ ...updateOf(entry), state: 'leaving' }, 'gossip', now);
  }

  private leave(): void {
    const { state, refutation } = this.view.selfEntry;
    if (state === 'alive') this.view.declareSelf('leaving', refutation + 1);
  }

  private stop(): void {
    this.view.declareSelf('dead', this.view.selfEntry.refutation + 1);
    const updates = [this.view.selfUpdate];
    sample(this.view.unsuspectedPeers(), timing.STOP_NOTICE_COUNT, this.rng).forEach((node) => {
      this.outbox.send(node, { kind: 'gossip', from: this.self.incarnation, updates });
    });
  }
}
