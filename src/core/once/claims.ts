/**
 * Handles one range of caller keys (keys that callers choose themselves, without a home) at the
 * node that claims them. A key is claimed in the log before its request runs.
 */
import {
  type CallId,
  type Incarnation,
  type Instant,
  type Millis,
  type Refusal,
  unknownOutcome,
} from '../../model';

import { ClaimIndex, type ClockReading } from './claim-index';
import type { ClaimLimits, PendingClaim } from './pending-claim';
import { type ClaimRecord, type KeyDigest, parseClaimRecord } from './claim-record';
import type { CallerKeyCall, ClaimsEffect, ClaimsEvent } from './claims-event';
import { Ledger, type LedgerVerdict, settlementVerdict } from './ledger';
import { type KeyRef, type Settlement, entryId } from './ledger-entry';
import { WaitingCalls } from './waiting-calls';

/** Delay before the log is read again after a failed read. */
const READ_BACKOFF_MS: Millis = 500;
/** Delay that a caller is asked to wait before a retry when the log is unavailable. */
const LOG_RETRY_AFTER_MS: Millis = 2000;
/**
 * Number of records per horizon that are appended even when no key waits for its claim. Their
 * stamps tell readers how old the records before them are.
 */
const TIMESTAMP_RECORDS_PER_HORIZON = 8;
/** Ratio of the horizon for which a claim may wait for a call whose deadline has not passed. */
const PENDING_HORIZON_RATIO = 1 / 8;

const refuse = (callId: CallId, outcome: Refusal): ClaimsEffect => ({
  kind: 'refuse',
  callId,
  outcome,
});

const logUnavailable = unknownOutcome('log-unavailable', LOG_RETRY_AFTER_MS);

/**
 * Runs the request of a key only when this claimant's own attempt is the first claim on the key in
 * the log and the index covers its horizon; then no other node ever runs it. Answers `not-run` only
 * for keys that it has claimed, because another node may have claimed any other key.
 */
export class ClaimRange {
  private readonly index: ClaimIndex;

  /** Keys without a known first claim, for which a claim of this node is queued, sent or won. */
  private readonly pending = new Map<KeyDigest, PendingClaim>();

  /** Calls that wait for the claim or the result of their key, by its digest. */
  private readonly waiting = new WaitingCalls<CallerKeyCall>();

  /** Digests of the keys in the append that is in flight; null when there is none. */
  private appendInFlight: readonly KeyDigest[] | null = null;

  private nextAppendAt: Instant = -Infinity;

  private nextTimestampAt: Instant = -Infinity;

  /** Whether the index has read up to the end of the log since it last started. */
  private hasReachedEnd = false;

  /** Whether the last read or append failed; new keys are then refused. */
  private logDown = false;

  constructor(
    private readonly self: Incarnation,
    private readonly limits: ClaimLimits,
    /** Results of the keys that this node has run, shared by all ranges. */
    private readonly ledger: Ledger,
  ) {
    this.index = new ClaimIndex(limits);
  }

  /** Counts the claims held, and the waiting calls plus pending keys. */
  get load(): { readonly claims: number; readonly waiting: number } {
    return { claims: this.index.size, waiting: this.waiting.size + this.pending.size };
  }

  /** Handles an event; returns the effects to carry out, in order. */
  apply(event: ClaimsEvent, at: ClockReading): readonly ClaimsEffect[] {
    return [...this.step(event, at), ...this.appendIfDue(at)];
  }

  private step(event: ClaimsEvent, at: ClockReading): readonly ClaimsEffect[] {
    switch (event.kind) {
      case 'open':
        return [this.readNext(at.now)];
      case 'call':
        return this.call(event.call, at);
      case 'leave':
        return this.leave(event.callId);
      case 'read':
        return this.read(event, at);
      case 'read-trimmed':
        this.index.restart(event.first);
        this.hasReachedEnd = false;
        return [this.readNext(at.now)];
      case 'read-failed':
        return this.readFailed(at);
      case 'appended':
        this.appendInFlight = null;
        this.logDown = false;
        return [];
      case 'append-failed':
        return this.appendFailed(event.isDefinite);
      case 'settle':
        return this.settle(event.call, event.settlement, at);
      case 'tick':
        this.index.sweep(at);
        this.sweepPending(at);
        return [];
    }
  }

  private call(call: CallerKeyCall, at: ClockReading): readonly ClaimsEffect[] {
    const { callId, digest, fingerprint } = call;
    const ref: KeyRef = { workspace: call.workspace, key: call.key, startBefore: 0 };
    const verdict = this.ledger.apply({ kind: 'look', ref, fingerprint }, at.now);
    if (verdict.kind !== 'absent') return this.answer(call, verdict);
    if (call.deadline <= at.now) return [refuse(callId, unknownOutcome('timeout'))];
    const first = this.index.firstClaim(digest);
    const pending = this.pending.get(digest);
    if (pending) return this.joinPending(pending, call, at);
    if (first) return [this.answerLostClaim(callId, first.claimant)];
    if (this.logDown || this.pending.size >= this.limits.maxPending) {
      return [refuse(callId, logUnavailable)];
    }
    const until = at.now + this.limits.horizon * PENDING_HORIZON_RATIO;
    this.pending.set(digest, { call, phase: 'queued', mayBeInLog: false, until });
    this.waiting.add(digest, call);
    return [];
  }

  private joinPending(
    pending: PendingClaim,
    call: CallerKeyCall,
    at: ClockReading,
  ): readonly ClaimsEffect[] {
    if (pending.call.fingerprint !== call.fingerprint) {
      return [refuse(call.callId, unknownOutcome('in-flight'))];
    }
    this.waiting.add(call.digest, call);
    if (
      pending.mayBeInLog &&
      pending.phase === 'sent' &&
      !this.appendInFlight?.includes(call.digest)
    ) {
      this.pending.set(call.digest, { ...pending, phase: 'queued' });
    }
    return pending.phase === 'won' ? this.start(pending, at) : [];
  }

  /** Answers a call whose key was claimed first by `claimant`. */
  private answerLostClaim(callId: CallId, claimant: Incarnation): ClaimsEffect {
    if (claimant === this.self) return refuse(callId, unknownOutcome('key-forgotten'));
    return { kind: 'ask', callId, claimant };
  }

  private answer(call: CallerKeyCall, verdict: LedgerVerdict): readonly ClaimsEffect[] {
    const { callId } = call;
    switch (verdict.kind) {
      case 'join':
        this.waiting.add(call.digest, call);
        return [];
      case 'replay':
        return [{ kind: 'replay', callId, answer: verdict.answer }];
      case 'refuse':
        return [refuse(callId, verdict.outcome)];
      case 'start':
      case 'absent':
      case 'settled':
        throw new Error(
          `expected join, replay or refuse from the ledger for a claimed key, got ${verdict.kind}`,
        );
    }
  }

  /** Refuses a call that left, and drops its claim if that was never appended and nobody waits. */
  private leave(callId: CallId): readonly ClaimsEffect[] {
    const call = this.waiting.remove(callId);
    if (!call) return [];
    const pending = this.pending.get(call.digest);
    if (!pending) return [refuse(callId, unknownOutcome('in-flight'))];
    const idle = pending.phase === 'queued' && !pending.mayBeInLog;
    if (idle && this.waiting.waitingFor(call.digest).length === 0) this.pending.delete(call.digest);
    return [refuse(callId, logUnavailable)];
  }

  private read(
    event: Extract<ClaimsEvent, { kind: 'read' }>,
    at: ClockReading,
  ): readonly ClaimsEffect[] {
    if (event.from !== this.index.next) return [this.readNext(at.now)];
    this.logDown = false;
    const records = event.values.map((value) =>
      parseClaimRecord(value).toMaybe().extractNullable(),
    );
    records.forEach((record) => this.index.add(record, at));
    if (this.index.next >= event.next) {
      this.index.reachEnd();
      this.hasReachedEnd = true;
    }
    const digests = records.flatMap((record) => record?.claims.map(([digest]) => digest) ?? []);
    const effects = [...new Set(digests)].flatMap((digest) => this.resolve(digest, at));
    return [...effects, this.readNext(at.now)];
  }

  private readNext(notBefore: Instant): ClaimsEffect {
    return { kind: 'read', from: this.index.next, notBefore, longPoll: this.hasReachedEnd };
  }

  /** Runs a pending key, or forwards its calls, once the first claim on the key is known. */
  private resolve(digest: KeyDigest, at: ClockReading): readonly ClaimsEffect[] {
    const pending = this.pending.get(digest);
    const first = this.index.firstClaim(digest);
    if (!pending || !first) return [];
    if (first.claimant === this.self && first.attempt === pending.call.attempt) {
      const won: PendingClaim = { ...pending, phase: 'won' };
      this.pending.set(digest, won);
      return this.start(won, at);
    }
    this.pending.delete(digest);
    return this.waiting
      .release(digest)
      .map(({ callId }) => this.answerLostClaim(callId, first.claimant));
  }

  /**
   * Runs the key for a waiting call whose deadline has not passed. Without one, or while the index
   * does not cover the horizon, the claim stays pending.
   */
  private start({ call: { digest } }: PendingClaim, at: ClockReading): readonly ClaimsEffect[] {
    if (!this.index.covers(at)) return [];
    const live = this.waiting.waitingFor(digest).find(({ deadline }) => deadline > at.now);
    if (!live) return [];
    const { workspace, key, fingerprint } = live;
    const ref: KeyRef = { workspace, key, startBefore: at.now + this.limits.horizon };
    const verdict = this.ledger.apply({ kind: 'call', ref, fingerprint }, at.now);
    this.pending.delete(digest);
    if (verdict.kind === 'start') return [{ kind: 'run', call: live }];
    if (verdict.kind !== 'refuse') throw new Error(`expected start or refuse, got ${verdict.kind}`);
    const { outcome } = verdict;
    return this.waiting.release(digest).map(({ callId }) => refuse(callId, outcome));
  }

  private settle(
    call: CallerKeyCall,
    settlement: Settlement,
    at: ClockReading,
  ): readonly ClaimsEffect[] {
    const id = entryId(call.workspace, call.key);
    this.ledger.apply({ kind: 'settle', id, settlement }, at.now);
    const kept = this.ledger.get(id)?.settlement ?? settlement;
    return this.waiting
      .release(call.digest)
      .flatMap((joined) => this.answer(joined, settlementVerdict(kept)));
  }

  private readFailed({ now }: ClockReading): readonly ClaimsEffect[] {
    this.logDown = true;
    return [...this.refuseQueued(), this.readNext(now + READ_BACKOFF_MS)];
  }

  private appendFailed(isDefinite: boolean): readonly ClaimsEffect[] {
    const appendInFlight = this.appendInFlight ?? [];
    this.appendInFlight = null;
    appendInFlight.forEach((digest) => {
      const pending = this.pending.get(digest);
      if (pending?.phase !== 'sent') return;
      const wanted = isDefinite || this.waiting.waitingFor(digest).length > 0;
      const phase = wanted ? 'queued' : 'sent';
      this.pending.set(digest, {
        ...pending,
        phase,
        mayBeInLog: pending.mayBeInLog || !isDefinite,
      });
    });
    if (!isDefinite) return [];
    this.logDown = true;
    return this.refuseQueued();
  }

  /** Refuses the calls whose claim is queued, because the log is unavailable. */
  private refuseQueued(): readonly ClaimsEffect[] {
    const queued = [...this.pending.values()].filter(({ phase }) => phase === 'queued');
    return queued.flatMap(({ call: { digest }, mayBeInLog }) => {
      if (!mayBeInLog) this.pending.delete(digest);
      return this.waiting.release(digest).map(({ callId }) => refuse(callId, logUnavailable));
    });
  }

  /** Appends the queued claims, or a record without claims when one is due. */
  private appendIfDue(at: ClockReading): readonly ClaimsEffect[] {
    if (!this.hasReachedEnd || this.appendInFlight || at.now < this.nextAppendAt) return [];
    const queued = this.index.covers(at) ? this.queued() : [];
    if (queued.length === 0 && at.now < this.nextTimestampAt) return [];
    queued.forEach((pending) => {
      this.pending.set(pending.call.digest, { ...pending, phase: 'sent' });
    });
    this.appendInFlight = queued.map(({ call }) => call.digest);
    this.nextAppendAt = at.now + this.limits.appendInterval;
    this.nextTimestampAt = at.now + this.limits.horizon / TIMESTAMP_RECORDS_PER_HORIZON;
    return [{ kind: 'append', record: this.record(queued, at) }];
  }

  /** Returns the claims for the next append: those with a waiting call, at most `maxBatch`. */
  private queued(): readonly PendingClaim[] {
    const wanted = [...this.pending.values()].filter(
      ({ call, phase }) => phase === 'queued' && this.waiting.waitingFor(call.digest).length > 0,
    );
    return wanted.slice(0, this.limits.maxBatch);
  }

  /** Drops expired claims that no call waits for and no append carries. */
  private sweepPending({ now }: ClockReading): void {
    this.pending.forEach(({ until, phase }, digest) => {
      const idle = phase !== 'sent' || !this.appendInFlight?.includes(digest);
      if (until <= now && idle && this.waiting.waitingFor(digest).length === 0)
        this.pending.delete(digest);
    });
  }

  private record(queued: readonly PendingClaim[], { wall }: ClockReading): ClaimRecord {
    const claims = queued.map(({ call }) => [call.digest, call.attempt] as const);
    return { claimant: this.self, stamp: wall, through: this.index.next, claims };
  }
}
