import {
  peerKey,
  type Incarnation,
  type Instant,
  type Millis,
  type NodeIdentity,
} from '../../model';

import { GossipQueue } from './gossip-queue';
import type { LocalHealth } from './local-health';
import type { MemberUpdate } from './messages';
import type { ProbeOrder } from './probe-order';
import { supersedes, Roster, updateOf, type RosterEntry, type Suspicion } from './roster';
import { DEAD_RETENTION_MS, suspicionTimeout, MAX_UPDATES_PER_MESSAGE } from './timing';

/**
 * Names how an update arrived: from the node that it describes, passed on by another node, or in a
 * page of another node's state.
 */
export type UpdateSource = 'first-hand' | 'gossip' | 'page';

/** Holds the states of all known nodes, this one included, and the updates that it gossips. */
export class MembershipView {
  readonly roster = new Roster();

  readonly gossip = new GossipQueue();

  /** Incarnations whose suspicion has neither been refuted nor expired. */
  private readonly suspected = new Set<Incarnation>();

  constructor(
    private readonly self: NodeIdentity,
    private readonly localHealth: LocalHealth,
    private readonly probeOrder: ProbeOrder,
    now: Instant,
  ) {
    this.roster.put({ node: self, state: 'alive', refutation: 0, knownSince: now });
  }

  get selfEntry(): RosterEntry {
    const entry = this.roster.get(this.self.incarnation);
    if (!entry) throw new Error('the roster has no entry for this node');
    return entry;
  }

  get selfUpdate(): MemberUpdate {
    return updateOf(this.selfEntry);
  }

  /** Returns the nodes that are alive or leaving, without this node. */
  unsuspectedPeers(): readonly NodeIdentity[] {
    return this.roster
      .live()
      .filter(({ node, state }) => node !== this.self && state !== 'suspect')
      .map(({ node }) => node);
  }

  /**
   * Returns the updates for one message. Where this node holds the receiver suspect, leaving or
   * dead, that update comes first, so that the receiver can refute it.
   */
  updatesFor(receiver: RosterEntry | undefined): readonly MemberUpdate[] {
    const isContestable = receiver && receiver.state !== 'alive';
    const first = isContestable ? [updateOf(receiver)] : [];
    const queued = this.gossip.take(MAX_UPDATES_PER_MESSAGE - first.length, this.roster.liveCount);
    return [...first, ...queued.filter(({ node }) => !first.length || node !== receiver?.node)];
  }

  /** Merges the updates of one message; `from` is its sender. */
  mergeAll(updates: readonly MemberUpdate[], from: Incarnation, now: Instant): void {
    updates.forEach((update) => {
      this.merge(update, update.node.incarnation === from ? 'first-hand' : 'gossip', now);
    });
  }

  /**
   * Merges an update if it supersedes what is held, and gossips it. Updates from a page of state
   * are not gossiped, since other nodes already hold them.
   */
  merge(update: MemberUpdate, source: UpdateSource, now: Instant): void {
    const { node } = update;
    if (node.incarnation === this.self.incarnation) {
      this.refute(update);
      return;
    }
    if (peerKey(node) === peerKey(this.self)) {
      this.declarePredecessorDead(update, now);
      return;
    }
    const known = this.roster.get(node.incarnation);
    if (known && !supersedes(update, known)) {
      if (update.state === 'suspect') this.confirmSuspicion(known, update);
      return;
    }
    const isLive = known && known.state !== 'dead';
    if (!isLive && !this.takeOverAddress(update, source, now)) return;
    this.store(update, known, now);
    if (source !== 'page') this.gossip.push(update);
  }

  /** Suspects a node because this node's own probe of it failed. */
  suspect(incarnation: Incarnation, now: Instant): void {
    const entry = this.roster.get(incarnation);
    if (!entry || entry.state === 'dead') return;
    const update = { ...updateOf(entry), state: 'suspect', by: this.self.incarnation } as const;
    if (entry.state === 'alive') this.storeAndGossip(update, entry, now);
    else if (entry.suspicion) this.confirmSuspicion(entry, update);
    else this.startSuspicion(entry, this.self.incarnation, now);
  }

  /** Declares dead the suspects that have not refuted the suspicion by its deadline. */
  expireSuspicions(now: Instant): void {
    [...this.suspected].forEach((incarnation) => {
      const entry = this.roster.get(incarnation);
      if (!entry?.suspicion || now < entry.suspicion.deadline) return;
      this.storeAndGossip({ ...updateOf(entry), state: 'dead' }, entry, now);
    });
  }

  /** Removes dead nodes whose retention period has ended. */
  forgetDead(now: Instant): void {
    [...this.roster.all()]
      .filter(({ forgetAt }) => forgetAt !== undefined && now >= forgetAt)
      .forEach((entry) => this.roster.forget(entry));
  }

  /** Extends every suspicion by `by` milliseconds, for the time that this process was paused. */
  extendSuspicions(by: Millis): void {
    this.suspected.forEach((incarnation) => {
      const entry = this.roster.get(incarnation);
      if (!entry?.suspicion) return;
      const { suspicion } = entry;
      this.roster.put({
        ...entry,
        suspicion: { ...suspicion, deadline: suspicion.deadline + by },
      });
    });
  }

  /** Sets this node's own state and gossips it. */
  declareSelf(state: 'alive' | 'leaving' | 'dead', refutation: number): void {
    const entry = { ...this.selfEntry, state, refutation };
    this.roster.put(entry);
    this.gossip.push(updateOf(entry));
  }

  /** Answers an update about this node that differs from its state with a higher refutation. */
  private refute(update: MemberUpdate): void {
    const { state, refutation } = this.selfEntry;
    if (state === 'dead' || update.refutation < refutation) return;
    if (update.state === state || update.state === 'alive') return;
    if (update.state === 'suspect' || update.state === 'dead') this.localHealth.worsen();
    this.declareSelf(state === 'leaving' ? 'leaving' : 'alive', update.refutation + 1);
  }

  /** Declares an earlier process dead whose address this node now has. */
  private declarePredecessorDead(update: MemberUpdate, now: Instant): void {
    const known = this.roster.get(update.node.incarnation);
    if (known?.state === 'dead' && known.refutation >= update.refutation) return;
    this.storeAndGossip({ ...update, state: 'dead' }, known, now);
  }

  /**
   * Returns whether an incarnation that is unknown or held dead may be stored at its address. If
   * another incarnation holds the address, a first-hand update declares that one dead; a
   * second-hand update only has it probed next.
   */
  private takeOverAddress(update: MemberUpdate, source: UpdateSource, now: Instant): boolean {
    const holder = this.roster.liveAt(update.node);
    if (!holder || update.state === 'dead') return true;
    if (source !== 'first-hand') {
      this.probeOrder.prioritize(holder.node.incarnation);
      return false;
    }
    this.storeAndGossip({ ...updateOf(holder), state: 'dead' }, holder, now);
    return true;
  }

  private storeAndGossip(update: MemberUpdate, known: RosterEntry | undefined, now: Instant): void {
    this.store(update, known, now);
    this.gossip.push(update);
  }

  private store(update: MemberUpdate, known: RosterEntry | undefined, now: Instant): void {
    const { node, state, refutation } = update;
    const entry: RosterEntry = { node, state, refutation, knownSince: known?.knownSince ?? now };
    this.suspected.delete(node.incarnation);
    this.roster.put(state === 'dead' ? { ...entry, forgetAt: now + DEAD_RETENTION_MS } : entry);
    const wasLive = known && known.state !== 'dead';
    if (!wasLive && state !== 'dead') {
      this.probeOrder.add(node.incarnation, node.dataCentre === this.self.dataCentre);
    }
    if (state === 'suspect') this.startSuspicion(entry, update.by, now);
  }

  private startSuspicion(entry: RosterEntry, by: Incarnation | undefined, now: Instant): void {
    const deadline = now + suspicionTimeout(0, this.roster.liveCount);
    const confirmedBy = new Set(by === undefined ? [] : [by]);
    this.suspected.add(entry.node.incarnation);
    this.roster.put({ ...entry, suspicion: { startedAt: now, deadline, confirmedBy } });
  }

  private confirmSuspicion(entry: RosterEntry, update: MemberUpdate): void {
    const { suspicion } = entry;
    const { by } = update;
    if (!suspicion || by === undefined || suspicion.confirmedBy.has(by)) return;
    const confirmedBy = new Set([...suspicion.confirmedBy, by]);
    const timeout = suspicionTimeout(confirmedBy.size - 1, this.roster.liveCount);
    const deadline = Math.min(suspicion.deadline, suspicion.startedAt + timeout);
    const confirmed: Suspicion = { ...suspicion, deadline, confirmedBy };
    this.roster.put({ ...entry, suspicion: confirmed });
    this.gossip.push(update);
  }
}
