import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';

import type { Incarnation, Instant, NodeAddress, NodeIdentity } from '../../model';

import type { Knowledge } from './knowledge';
import type { LocalHealth } from './local-health';
import type { Ack, Nack, Ping, PingRequest } from './messages';
import type { Outbox } from './outbox';
import { sample, type ProbeOrder } from './probe-order';
import { MemberProbes, type Probe } from './member-probes';
import type { Entry } from './roster';
import * as timing from './timing';

/** Probes the members one after the other, directly and then through helpers. */
export class Prober {
  private readonly probes = new MemberProbes();

  private nextProbeAt: Instant = 0;

  constructor(
    private readonly self: NodeIdentity,
    private readonly knowledge: Knowledge,
    private readonly health: LocalHealth,
    private readonly order: ProbeOrder,
    private readonly outbox: Outbox,
    private readonly rng: RandomGenerator,
  ) {}

  tick(now: Instant): void {
    this.probes.takeFailed(now).forEach((probe) => this.fail(probe, now));
    this.probes.awaitingHelp(now).forEach((probe) => this.askForHelp(probe));
    this.probes.takeUnanswered(now).forEach(({ origin, originSeq }) => {
      this.outbox.send(origin, { kind: 'nack', seq: originSeq, from: this.self.incarnation });
    });
    if (now >= this.nextProbeAt) this.startProbe(now);
  }

  /** Drops the running probes without a verdict. */
  abandon(): void {
    this.probes.abandon();
  }

  /** Asks whoever listens at an address to make itself known. */
  reach(address: NodeAddress): void {
    const last = this.knowledge.roster.lastAt(address);
    this.outbox.send(address, this.ping(this.probes.nextSeq(), last));
  }

  answer({ seq, from, to, updates }: Ping, now: Instant): void {
    this.knowledge.learn(from, 'first-hand', now);
    this.knowledge.learnAll(updates, from.node.incarnation, now);
    const own = to === this.self.incarnation ? [] : [this.knowledge.selfUpdate];
    const sender = this.knowledge.roster.get(from.node.incarnation);
    this.outbox.send(from.node, {
      kind: 'ack',
      seq,
      from: this.self.incarnation,
      updates: [...own, ...this.knowledge.newsFor(sender)],
    });
  }

  takeAck(ack: Ack, now: Instant): void {
    this.knowledge.learnAll(ack.updates, ack.from, now);
    const relay = this.probes.relayed(ack.seq);
    if (relay) this.outbox.send(relay.origin, { ...ack, seq: relay.originSeq });
    const probe = this.probes.answered(ack.seq);
    if (probe && ack.from === probe.target.incarnation) this.health.improve();
  }

  takeNack({ seq, from }: Nack): void {
    this.probes.nacked(seq, from);
  }

  probeFor({ seq, from, target }: PingRequest, now: Instant): void {
    this.knowledge.learn(from, 'first-hand', now);
    const own = this.probes.relay(from.node, seq, now);
    const entry = this.knowledge.roster.get(target.incarnation);
    this.outbox.send(target, this.ping(own, entry, target.incarnation));
  }

  private startProbe(now: Instant): void {
    this.nextProbeAt = now + this.health.stretch(timing.PROBE_PERIOD);
    const { roster } = this.knowledge;
    const target = this.order.next(
      () => roster.live().map(({ node }) => node.incarnation),
      (incarnation) => this.mayProbe(incarnation),
    );
    const entry = target === undefined ? undefined : roster.get(target);
    if (!entry) return;
    const seq = this.probes.start(entry.node, now, (millis) => this.health.stretch(millis));
    this.outbox.send(entry.node, this.ping(seq, entry, entry.node.incarnation));
  }

  private mayProbe(incarnation: Incarnation): boolean {
    const entry = this.knowledge.roster.get(incarnation);
    if (!entry || entry.state === 'dead' || incarnation === this.self.incarnation) return false;
    return !this.probes.isProbing(incarnation);
  }

  private askForHelp(probe: Probe): void {
    const { seq, target } = probe;
    const others = this.knowledge.others().filter((node) => node !== target);
    const helpers = sample(others, timing.HELPERS, this.rng);
    this.probes.askedForHelp(probe, helpers);
    helpers.forEach((helper) => {
      const from = this.knowledge.selfUpdate;
      this.outbox.send(helper, { kind: 'ping-request', seq, from, target });
    });
  }

  private fail({ target, helpers, nacks }: Probe, now: Instant): void {
    const isHelperSilent = nacks.size < helpers.size;
    if (helpers.size === 0 || isHelperSilent) this.health.worsen();
    this.knowledge.suspect(target.incarnation, now);
  }

  private ping(seq: number, receiver: Entry | undefined, to?: Incarnation): Ping {
    const { roster, selfUpdate } = this.knowledge;
    const updates = this.knowledge.newsFor(receiver);
    return { kind: 'ping', seq, from: selfUpdate, to, digest: roster.digest, updates };
  }
}
