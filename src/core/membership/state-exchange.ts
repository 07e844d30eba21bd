import type { Instant, NodeAddress, NodeIdentity } from '../../model';

import type { MembershipView } from './membership-view';
import type { StatePage } from './messages';
import type { Outbox } from './outbox';
import { updateOf } from './roster';
import * as timing from './timing';

/** Exchanges pages of state with nodes whose view still differs after gossip had time to spread. */
export class StateExchange {
  /** Earliest time of the next page. */
  private nextPageAt: Instant = 0;

  /** Time until which gossip may still settle a mismatch; undefined while views agree. */
  private mismatchAllowedUntil: Instant | undefined;

  /** Index of the first roster entry of the next page, modulo the roster's size. */
  private cursor = 0;

  constructor(
    private readonly self: NodeIdentity,
    private readonly view: MembershipView,
    private readonly outbox: Outbox,
  ) {}

  /** Compares another node's digest, and sends it a page if views have differed for too long. */
  compareDigest(digest: number, node: NodeIdentity, now: Instant): void {
    if (digest === this.view.roster.digest) {
      this.mismatchAllowedUntil = undefined;
      return;
    }
    this.mismatchAllowedUntil ??= now + timing.MISMATCH_TOLERANCE_MS;
    if (now < this.mismatchAllowedUntil || now < this.nextPageAt) return;
    this.nextPageAt = now + timing.STATE_PAGE_PERIOD_MS;
    this.sendPage(node, true);
  }

  /** Merges a page and answers it with one of this node's own if the sender wants it. */
  takePage({ from, replyWanted, updates }: StatePage, now: Instant): void {
    updates.forEach((update) => this.view.merge(update, 'page', now));
    const sender = this.view.roster.get(from);
    if (replyWanted && sender) this.sendPage(sender.node, false);
  }

  /** Sends this node's whole state, in pages. */
  sendAllPages(to: NodeAddress): void {
    const pages = Math.ceil(this.view.roster.size / timing.MAX_UPDATES_PER_PAGE);
    for (let page = 0; page < pages; page++) this.sendPage(to, false);
  }

  private sendPage(to: NodeAddress, replyWanted: boolean): void {
    const all = [...this.view.roster.all()];
    const count = Math.min(all.length, timing.MAX_UPDATES_PER_PAGE);
    const start = this.cursor % all.length;
    const page = [...all, ...all].slice(start, start + count);
    this.cursor = start + count;
    const from = this.self.incarnation;
    this.outbox.send(to, { kind: 'state', from, replyWanted, updates: page.map(updateOf) });
  }
}
