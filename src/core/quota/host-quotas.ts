import type { Instant, Millis, WorkspaceName, WorkspaceQuota } from '../../model';

import { AllocatorDirectory } from './allocator-directory';
import { AskBook, type AskRecord } from './ask-book';
import { AskOutbox } from './ask-outbox';
import { PartitionDuties, type DutyEvent } from './partition-duties';
import { PartitionOrder, type AskTarget } from './partition-order';
import type { QuotaMessage, QuotaPeer, TokenGrant } from './messages';
import { QuotaAllocator } from './quota-allocator';
import { returnsOf } from './returns';
import type { QuotaMember, QuotaTerms } from './terms';
import { storeGrant } from './store-grant';
import { refusalOf, type TokenDecision } from './token-decision';
import { TokenStock, type LeasedToken } from './token-stock';

/** A change of what this host believes of the allocators. */
export type QuotaEvent =
  | DutyEvent
  | { readonly kind: 'allocator-silent' | 'allocator-answers'; readonly member: QuotaMember };

/** Functions that the quotas of a host call. */
export interface HostQuotasService {
  /** Returns a workspace's quota in the configuration in force. */
  quotaOf(workspace: WorkspaceName): WorkspaceQuota | undefined;
  send(to: QuotaPeer, message: QuotaMessage): void;
  onEvent(event: QuotaEvent): void;
}

/** This host as the others know it. */
export type QuotaSelf = Pick<QuotaMember, 'incarnation' | 'dataCentre'> & QuotaPeer;

/** Time in milliseconds until a partition is asked again whose allocator did not answer. */
const UNANSWERED_PAUSE_MS: Millis = 100;
/** Interval in milliseconds at which unused tokens are returned. */
const RETURN_INTERVAL_MS: Millis = 100;
/** Interval in milliseconds at which workspaces without requests are forgotten. */
const SWEEP_INTERVAL_MS: Millis = 1000;

/**
 * The quotas of one host: its stock of tokens, what it asks of allocators, and the partitions that
 * it is the allocator of. Load pattern: requests of thousands of workspaces at any host, which must
 * be decided without a message for each.
 */
export class HostQuotas {
  private readonly directory: AllocatorDirectory;

  private readonly allocator: QuotaAllocator;

  private readonly duties: PartitionDuties;

  private readonly order: PartitionOrder;

  private readonly book = new AskBook();

  private readonly outbox = new AskOutbox();

  private readonly stocks = new Map<WorkspaceName, TokenStock>();

  /** Stocks with waiting requests, and those with tokens. */
  private readonly waiting = new Set<TokenStock>();

  private readonly holding = new Set<TokenStock>();

  private returnAt: Instant;

  private sweepAt: Instant;

  /** `lastSeq` should be drawn at random, so that a restarted process uses other numbers. */
  constructor(
    private readonly self: QuotaSelf,
    private readonly terms: QuotaTerms,
    private readonly service: HostQuotasService,
    now: Instant,
    private lastSeq: number,
  ) {
    this.directory = new AllocatorDirectory(self.incarnation, terms, now);
    this.allocator = new QuotaAllocator(terms, (workspace) => service.quotaOf(workspace));
    this.duties = new PartitionDuties(terms, this.directory, this.allocator, {
      claim: (partition, from) => service.send(from, { kind: 'claim', partition }),
      onEvent: (event) => service.onEvent(event),
    });
    this.order = new PartitionOrder(self, terms, this.directory, this.book);
    this.returnAt = now + RETURN_INTERVAL_MS;
    this.sweepAt = now + SWEEP_INTERVAL_MS;
  }

  /** Takes a token for a request, at once if there is one, and no later than at `deadline`. */
  request(
    workspace: WorkspaceName,
    now: Instant,
    deadline: Instant,
    settle: (decision: TokenDecision) => void,
  ): void {
    const stock = this.stockOf(workspace);
    stock.demand.add(now);
    stock.wait({
      deadline,
      settle: (token, at) => settle(token ? { kind: 'granted', token } : refusalOf(stock, at)),
    });
    this.progress(stock, now);
  }

  /** Takes back the token of a request that has not run and never will. */
  giveBack(workspace: WorkspaceName, token: LeasedToken, now: Instant): void {
    if (token.expiresAt <= now) return;
    const stock = this.stockOf(workspace);
    stock.put([token]);
    this.progress(stock, now);
  }

  /** Takes in the members and their states, this host included. */
  onMembers(members: readonly QuotaMember[], now: Instant): void {
    this.directory.onMembers(members, now);
    this.duties.update(now);
  }

  /** Records that a datagram of a peer has arrived. */
  onContact(now: Instant): void {
    this.directory.onContact(now);
  }

  /** Forgets all leased tokens, as this host can't tell how long ago it got them. */
  dropTokens(): void {
    this.stocks.forEach((stock) => stock.takeAll());
  }

  /** Takes in a message of a peer. */
  onMessage(message: QuotaMessage, now: Instant): void {
    switch (message.kind) {
      case 'ask': {
        this.duties.update(now);
        const { sender, from, asks, returns } = message;
        returns.forEach((one) => this.allocator.takeBack(one, { sender, seq: one.seq }));
        const grants = asks.map((ask) => this.allocator.grant(ask, { sender, seq: ask.seq }, now));
        if (grants.length > 0) this.service.send(from, { kind: 'granted', to: sender, grants });
        return;
      }
      case 'granted':
        if (message.to === this.self.incarnation) this.onGrants(message.grants, now);
        return;
      case 'claim':
        this.duties.onClaim(message.partition, now);
    }
  }

  /** Does what is due: asks again, gives up, returns unused tokens, serves and refuses requests. */
  advance(now: Instant): void {
    this.duties.update(now);
    this.handleUnanswered(now);
    [...this.waiting].forEach((stock) => this.progress(stock, now));
    if (now >= this.returnAt) {
      this.returnAt = now + RETURN_INTERVAL_MS;
      this.returnIdle(now);
    }
    if (now >= this.sweepAt) {
      this.sweepAt = now + SWEEP_INTERVAL_MS;
      this.sweep(now);
    }
    this.flush(now);
  }

  /** Returns the next time at which something is due; Infinity if only requests or messages are. */
  get wakeAt(): Instant {
    const times = [...this.waiting].map(({ wakeAt }) => wakeAt ?? Number.POSITIVE_INFINITY);
    const returnAt = this.holding.size > 0 ? this.returnAt : Number.POSITIVE_INFINITY;
    return Math.min(this.book.dueAt, this.outbox.dueAt, returnAt, ...times);
  }

  /** Number of workspaces that this host holds state of: as one that serves, and as allocator. */
  get sizes(): { readonly stocks: number; readonly buckets: number } {
    return { stocks: this.stocks.size, buckets: this.allocator.bucketCount };
  }

  private stockOf(workspace: WorkspaceName): TokenStock {
    const known = this.stocks.get(workspace);
    if (known) return known;
    const created = new TokenStock(workspace);
    this.stocks.set(workspace, created);
    return created;
  }

  /** Serves the waiting requests of a workspace, asks for tokens, and refuses what is hopeless. */
  private progress(stock: TokenStock, now: Instant): void {
    stock.serve(now);
    this.askFor(stock, now);
    stock.serve(now);
    stock.refuse(now);
    if (stock.waitingCount > 0) this.waiting.add(stock);
    else this.waiting.delete(stock);
    if (stock.tokenCount > 0) this.holding.add(stock);
    this.flush(now);
  }

  private askFor(stock: TokenStock, now: Instant): void {
    for (;;) {
      const count = stock.missing(now);
      if (count === 0) return;
      stock.forgetPast(now);
      const target = this.order.next(stock, now);
      if (!target) return;
      this.ask(stock, target, count, now);
    }
  }

  private ask(
    stock: TokenStock,
    { partition, member }: AskTarget,
    count: number,
    now: Instant,
  ): void {
    this.lastSeq += 1;
    const seq = this.lastSeq;
    const isUrgent = stock.waitingCount > 0;
    const ask = {
      seq,
      partition,
      workspace: stock.workspace,
      count,
      horizon: stock.horizon(now, this.terms.lease),
    };
    const record: AskRecord = { ask, stock, to: member, askedAt: now, isUrgent };
    this.book.add(record, now);
    if (!member) {
      const id = { sender: this.self.incarnation, seq };
      this.applyGrant(record, this.allocator.grant(ask, id, now), now);
      return;
    }
    stock.asked.set(seq, count);
    this.outbox.addAsk(member, ask, isUrgent, now);
  }

  private onGrants(grants: readonly TokenGrant[], now: Instant): void {
    grants.forEach((grant) => {
      const record = this.book.record(grant.seq);
      if (!record) return;
      this.applyGrant(record, grant, now);
      this.progress(record.stock, now);
    });
  }

  /** Takes in the answer to a request; one that comes again changes nothing. */
  private applyGrant(record: AskRecord, grant: TokenGrant, now: Instant): void {
    const { ask, stock, to } = record;
    if (!this.book.answer(ask.seq)) return;
    stock.asked.delete(ask.seq);
    if (this.book.close(record) && to)
      this.service.onEvent({ kind: 'allocator-answers', member: to });
    storeGrant(record, grant, this.terms.lease, now);
    if (stock.tokenCount > 0) this.holding.add(stock);
  }

  private handleUnanswered(now: Instant): void {
    const { repeated, givenUp } = this.book.takeUnanswered(now);
    repeated.forEach(({ ask, stock, to }) => {
      stock.asked.set(ask.seq, 0);
      if (to) this.outbox.addAsk(to, ask, true, now);
    });
    givenUp.forEach(({ ask, stock, to }) => {
      stock.asked.delete(ask.seq);
      const blockedUntil = now + UNANSWERED_PAUSE_MS;
      stock.setPartition(ask.partition, { blockedUntil, nextAt: undefined });
      if (to && this.book.recordFailure(to, now)) {
        this.service.onEvent({ kind: 'allocator-silent', member: to });
      }
    });
  }

  private returnIdle(now: Instant): void {
    this.holding.forEach((stock) => {
      returnsOf(stock.takeIdle(now)).forEach((one) => {
        const record = this.book.record(one.seq);
        if (!record) return;
        const id = { sender: this.self.incarnation, seq: one.seq };
        if (record.to) this.outbox.addReturn(record.to, one, now);
        else this.allocator.takeBack(one, id);
      });
      if (stock.tokenCount === 0) this.holding.delete(stock);
    });
  }

  private sweep(now: Instant): void {
    this.book.forgetPast(now);
    this.outbox.forgetUnused(now);
    this.stocks.forEach((stock, workspace) => {
      stock.forgetPast(now);
      if (stock.isUnused(now)) this.stocks.delete(workspace);
    });
  }

  private flush(now: Instant): void {
    const { address, peerPort, datagramVersion, incarnation } = this.self;
    const from = { address, peerPort, datagramVersion };
    this.outbox.takeDue(now).forEach(({ to, asks, returns }) => {
      this.service.send(to, { kind: 'ask', from, sender: incarnation, asks, returns });
    });
  }
}
