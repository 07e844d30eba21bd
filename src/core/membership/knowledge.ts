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
import { isNews, Roster, updateOf, type Entry, type Suspicion } from './roster';
import { DEAD_KEPT, suspicionTimeout, UPDATES_PER_MESSAGE } from './timing';

/** How news came: from the node that it is about, passed on, or in a page of state. */
export type Source = 'first-hand' | 'gossip' | 'page';

/** What this node holds of the others and of itself, and the news that it passes on. */
export class Knowledge {
  readonly roster = new Roster();

  readonly gossip = new GossipQueue();

  /** The incarnations with a running suspicion. */
  private readonly suspected = new Set<Incarnation>();

  constructor(
    private readonly self: NodeIdentity,
    private readonly health: LocalHealth,
    private readonly order: ProbeOrder,
    now: Instant,
  ) {
    this.roster.put({ node: self, state: 'alive', refutation: 0, knownSince: now });
  }

  get selfEntry(): Entry {
    const entry = this.roster.get(this.self.incarnation);
    if (!entry) throw new Error('a node always knows itself');
    return entry;
  }

  get selfUpdate(): MemberUpdate {
    return updateOf(this.selfEntry);
  }

  /** Live nodes other than this one and suspects. */
  others(): readonly NodeIdentity[] {
    return this.roster
      .live()
      .filter(({ node, state }) => node !== this.self && state !== 'suspect')
      .map(({ node }) => node);
  }

  /** News for one message; first what the receiver may have to contradict. */
  newsFor(receiver: Entry | undefined): readonly MemberUpdate[] {
    const isContestable = receiver && receiver.state !== 'alive';
    const first = isContestable ? [updateOf(receiver)] : [];
    const news = this.gossip.take(UPDATES_PER_MESSAGE - first.length, this.roster.liveCount);
    return [...first, ...news.filter(({ node }) => !first.length || node !== receiver?.node)];
  }

  learnAll(updates: readonly MemberUpdate[], from: Incarnation, now: Instant): void {
    updates.forEach((update) => {
      this.learn(update, update.node.incarnation === from ? 'first-hand' : 'gossip', now);
    });
  }

  /** Takes news. What comes in a page is known to others and not passed on. */
  learn(update: MemberUpdate, source: Source, now: Instant): void {
    const { node } = update;
    if (node.incarnation === this.self.incarnation) {
      this.contradict(update);
      return;
    }
    if (peerKey(node) === peerKey(this.self)) {
      this.buryPredecessor(update, now);
      return;
    }
    const known = this.roster.get(node.incarnation);
    if (known && !isNews(update, known)) {
      if (update.state === 'suspect') this.confirm(known, update);
      return;
    }
    const isLive = known && known.state !== 'dead';
    if (!isLive && !this.mayTakeAddress(update, source, now)) return;
    this.accept(update, known, now);
    if (source !== 'page') this.gossip.push(update);
  }

  /** Notes that this node's own probe of another failed. */
  suspect(incarnation: Incarnation, now: Instant): void {
    const entry = this.roster.get(incarnation);
    if (!entry || entry.state === 'dead') return;
    const update = { ...updateOf(entry), state: 'suspect', by: this.self.incarnation } as const;
    if (entry.state === 'alive') this.announce(update, entry, now);
    else if (entry.suspicion) this.confirm(entry, update);
    else this.startSuspicion(entry, this.self.incarnation, now);
  }

  /** Ends the suspicions that ran out, and forgets who has long been dead. */
  sweep(now: Instant): void {
    [...this.suspected].forEach((incarnation) => {
      const entry = this.roster.get(incarnation);
      if (!entry?.suspicion || now < entry.suspicion.deadline) return;
      this.announce({ ...updateOf(entry), state: 'dead' }, entry, now);
    });
  }

  forgetDead(now: Instant): void {
    [...this.roster.all()]
      .filter(({ forgetAt }) => forgetAt !== undefined && now >= forgetAt)
      .forEach((entry) => this.roster.forget(entry));
  }

  /** Gives suspects more time after a pause of this process. */
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

  /** Announces this node's own state. */
  declareSelf(state: 'alive' | 'leaving' | 'dead', refutation: number): void {
    const entry = { ...this.selfEntry, state, refutation };
    this.roster.put(entry);
    this.gossip.push(updateOf(entry));
  }

  private contradict(update: MemberUpdate): void {
    const { state, refutation } = this.selfEntry;
    if (state === 'dead' || update.refutation < refutation) return;
    if (update.state === state || update.state === 'alive') return;
    if (update.state === 'suspect' || update.state === 'dead') this.health.worsen();
    this.declareSelf(state === 'leaving' ? 'leaving' : 'alive', update.refutation + 1);
  }

  /** This node has the address now, so that the other process is gone. */
  private buryPredecessor(update: MemberUpdate, now: Instant): void {
    const known = this.roster.get(update.node.incarnation);
    if (known?.state === 'dead' && known.refutation >= update.refutation) return;
    this.announce({ ...update, state: 'dead' }, known, now);
  }

  /** Whether an unknown incarnation may stand at its address; its predecessor is then gone. */
  private mayTakeAddress(update: MemberUpdate, source: Source, now: Instant): boolean {
    const holder = this.roster.liveAt(update.node);
    if (!holder || update.state === 'dead') return true;
    if (source !== 'first-hand') {
      this.order.first(holder.node.incarnation);
      return false;
    }
    this.announce({ ...updateOf(holder), state: 'dead' }, holder, now);
    return true;
  }

  private announce(update: MemberUpdate, known: Entry | undefined, now: Instant): void {
    this.accept(update, known, now);
    this.gossip.push(update);
  }

  private accept(update: MemberUpdate, known: Entry | undefined, now: Instant): void {
    const { node, state, refutation } = update;
    const entry: Entry = { node, state, refutation, knownSince: known?.knownSince ?? now };
    this.suspected.delete(node.incarnation);
    this.roster.put(state === 'dead' ? { ...entry, forgetAt: now + DEAD_KEPT } : entry);
    const wasLive = known && known.state !== 'dead';
    if (!wasLive && state !== 'dead') this.order.add(node.incarnation);
    if (state === 'suspect') this.startSuspicion(entry, update.by, now);
  }

  private startSuspicion(entry: Entry, by: Incarnation | undefined, now: Instant): void {
    const deadline = now + suspicionTimeout(0, this.roster.liveCount);
    const confirmedBy = new Set(by === undefined ? [] : [by]);
    this.suspected.add(entry.node.incarnation);
    this.roster.put({ ...entry, suspicion: { startedAt: now, deadline, confirmedBy } });
  }

  private confirm(entry: Entry, update: MemberUpdate): void {
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
