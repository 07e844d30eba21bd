import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';

import type { Incarnation, Instant, NodeAddress, NodeIdentity } from '../../model';

import type { MembershipView } from './membership-view';
import type { LocalHealth } from './local-health';
import type { Ack, Nack, Ping, PingRequest } from './messages';
import type { Outbox } from './outbox';
import { sample, type ProbeOrder } from './probe-order';
import { MemberProbes, type Probe } from './member-probes';
import type { RosterEntry } from './roster';
import * as timing from './timing';

/**
 * Probes the members in turn: directly, then through helpers if no answer comes. Answers the
 * probes of other nodes, and probes on their behalf.
 */
export class Prober {
  private readonly probes = new MemberProbes();

  private nextProbeAt: Instant = 0;

  constructor(
    private readonly self: NodeIdentity,
    private readonly view: MembershipView,
    private readonly localHealth: LocalHealth,
    private readonly probeOrder: ProbeOrder,
    private readonly outbox: Outbox,
    private readonly rng: RandomGenerator,
  ) {}

  /** Handles the probes whose time has come, and starts the next one when it is due. */
  tick(now: Instant): void {
    this.probes.takeExpired(now).forEach((probe) => this.handleFailure(probe, now));
    this.probes.dueForHelpers(now).forEach((probe) => this.askHelpers(probe));
    this.probes.takeUnansweredRelays(now).forEach(({ origin, originSeq }) => {
      this.outbox.send(origin, { kind: 'nack', seq: originSeq, from: this.self.incarnation });
    });
    if (now >= this.nextProbeAt) this.startProbe(now);
  }

  /** Drops the running probes without counting them as failed. */
  abandon(): void {
    this.probes.abandon();
  }

  /** Pings whichever process listens at an address; its `ack` carries its identity. */
  pingAddress(address: NodeAddress): void {
    const last = this.view.roster.lastAt(address);
    this.outbox.send(address, this.createPing(this.probes.nextSeq(), last));
  }

  answerPing({ seq, from, to, updates }: Ping, now: Instant): void {
    this.view.merge(from, 'first-hand', now);
    this.view.mergeAll(updates, from.node.incarnation, now);
    const own = to === this.self.incarnation ? [] : [this.view.selfUpdate];
    const sender = this.view.roster.get(from.node.incarnation);
    this.outbox.send(from.node, {
      kind: 'ack',
      seq,
      from: this.self.incarnation,
      updates: [...own, ...this.view.updatesFor(sender)],
    });
  }

  /** Ends the probe that an `ack` answers; passes the `ack` on if the probe was a relayed one. */
  takeAck(ack: Ack, now: Instant): void {
    this.view.mergeAll(ack.updates, ack.from, now);
    const relay = this.probes.takeAnsweredRelay(ack.seq);
    if (relay) this.outbox.send(relay.origin, { ...ack, seq: relay.originSeq });
    const probe = this.probes.takeAnswered(ack.seq);
    if (probe && ack.from === probe.target.incarnation) this.localHealth.improve();
  }

  takeNack({ seq, from }: Nack): void {
    this.probes.recordNack(seq, from);
  }

  /** Pings a target for the node that asked for it. */
  relayPing({ seq, from, target }: PingRequest, now: Instant): void {
    this.view.merge(from, 'first-hand', now);
    const relaySeq = this.probes.startRelay(from.node, seq, now);
    const entry = this.view.roster.get(target.incarnation);
    this.outbox.send(target, this.createPing(relaySeq, entry, target.incarnation));
  }

  private startProbe(now: Instant): void {
    this.nextProbeAt = now + this.localHealth.scaleTimeout(timing.PROBE_PERIOD_MS);
    const { roster } = this.view;
    const target = this.probeOrder.next((incarnation) => this.mayProbe(incarnation));
    const entry = target === undefined ? undefined : roster.get(target);
    if (!entry) return;
    const seq = this.probes.start(entry.node, now, (millis) =>
      this.localHealth.scaleTimeout(millis),
    );
    this.outbox.send(entry.node, this.createPing(seq, entry, entry.node.incarnation));
  }

  private mayProbe(incarnation: Incarnation): boolean {
    const entry = this.view.roster.get(incarnation);
    if (!entry || entry.state === 'dead' || incarnation === this.self.incarnation) return false;
    return !this.probes.isProbing(incarnation);
  }

  private askHelpers(probe: Probe): void {
    const { seq, target } = probe;
    const others = this.view.unsuspectedPeers().filter((node) => node !== target);
    const helpers = sample(others, timing.HELPER_COUNT, this.rng);
    this.probes.recordHelpers(probe, helpers);
    helpers.forEach((helper) => {
      const from = this.view.selfUpdate;
      this.outbox.send(helper, { kind: 'ping-request', seq, from, target });
    });
  }

  /**
   * Suspects the target. A probe without helpers, or with a helper that sent not even a `nack`,
   * may have failed because of this node, so its local health score rises too.
   */
  private handleFailure({ target, helpers, nacks }: Probe, now: Instant): void {
    const isNackMissing = nacks.size < helpers.size;
    if (helpers.size === 0 || isNackMissing) this.localHealth.worsen();
    this.view.suspect(target.incarnation, now);
  }

  private createPing(seq: number, receiver: RosterEntry | undefined, to?: Incarnation): Ping {
    const { roster, selfUpdate } = this.view;
    const updates = this.view.updatesFor(receiver);
    return { kind: 'ping', seq, from: selfUpdate, to, digest: roster.digest, updates };
  }
}
