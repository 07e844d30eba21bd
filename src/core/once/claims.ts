/** One range of bare keys at its claimant: claims keys in the log before they run. */
import {
  type CallId,
  type Incarnation,
  type Instant,
  type Millis,
  type Refusal,
  unknownOutcome,
} from '../../model';

import { ClaimIndex, type Moment } from './claim-index';
import type { ClaimLimits, Pending } from './claim-pending';
import { type ClaimRecord, type KeyDigest, parseClaimRecord } from './claim-record';
import type { CallerKeyCall, ClaimsEffect, ClaimsEvent } from './claims-event';
import { Ledger, type LedgerVerdict, replay } from './ledger';
import { type KeyRef, type Settlement, entryId } from './ledger-entry';
import { WaitingCalls } from './waiting-calls';

const READ_BACKOFF: Millis = 500;
const LOG_RETRY_AFTER: Millis = 2000;
const MARKS_PER_HORIZON = 8;
/** Share of the horizon for which a claim may wait for a live call. */
const PENDING_SHARE = 1 / 8;

const refuse = (callId: CallId, outcome: Refusal): ClaimsEffect => ({
  kind: 'refuse',
  callId,
  outcome,
});

const logUnavailable = unknownOutcome('log-unavailable', LOG_RETRY_AFTER);

/**
 * Runs a key only when this claimant's own attempt is the first claim in the log and the index
 * covers its horizon; then no other node ever runs it. Says `not-run` only of keys that it has
 * claimed, since a key not claimed here may be claimed elsewhere.
 */
export class ClaimRange {
  private readonly index: ClaimIndex;

  private readonly pending = new Map<KeyDigest, Pending>();

  private readonly waiting = new WaitingCalls<CallerKeyCall>();

  /** The keys of the append in flight. */
  private batch: readonly KeyDigest[] | null = null;

  private nextAppendAt: Instant = -Infinity;

  private nextMarkAt: Instant = -Infinity;

  private caughtUp = false;

  private logDown = false;

  constructor(
    private readonly self: Incarnation,
    private readonly limits: ClaimLimits,
    /** What became of the keys run here, over all ranges. */
    private readonly ledger: Ledger,
  ) {
    this.index = new ClaimIndex(limits);
  }

  /** Claims held, and calls and keys that wait. */
  get load(): { readonly claims: number; readonly waiting: number } {
    return { claims: this.index.size, waiting: this.waiting.size + this.pending.size };
  }

  apply(event: ClaimsEvent, at: Moment): readonly ClaimsEffect[] {
    return [...this.step(event, at), ...this.pump(at)];
  }

  private step(event: ClaimsEvent, at: Moment): readonly ClaimsEffect[] {
    switch (event.kind) {
      case 'open':
        return [this.readOn(at.now)];
      case 'call':
        return this.call(event.call, at);
      case 'leave':
        return this.leave(event.callId);
      case 'read':
        return this.read(event, at);
      case 'read-trimmed':
        this.index.restart(event.first);
        this.caughtUp = false;
        return [this.readOn(at.now)];
      case 'read-failed':
        return this.readFailed(at);
      case 'appended':
        this.batch = null;
        this.logDown = false;
        return [];
      case 'append-failed':
        return this.appendFailed(event.sure);
      case 'settle':
        return this.settle(event.call, event.settlement, at);
      case 'tick':
        this.index.sweep(at);
        this.sweepPending(at);
        return [];
    }
  }

  private call(call: CallerKeyCall, at: Moment): readonly ClaimsEffect[] {
    const { callId, digest, fingerprint } = call;
    const ref: KeyRef = { workspace: call.workspace, key: call.key, startBefore: 0 };
    const verdict = this.ledger.apply({ kind: 'look', ref, fingerprint }, at.now);
    if (verdict.kind !== 'absent') return this.answer(call, verdict);
    if (call.deadline <= at.now) return [refuse(callId, unknownOutcome('timeout'))];
    const first = this.index.first(digest);
    const pending = this.pending.get(digest);
    if (pending) return this.joinPending(pending, call, at);
    if (first) return [this.lost(callId, first.claimant)];
    if (this.logDown || this.pending.size >= this.limits.maxPending) {
      return [refuse(callId, logUnavailable)];
    }
    const until = at.now + this.limits.horizon * PENDING_SHARE;
    this.pending.set(digest, { call, phase: 'queued', unsure: false, until });
    this.waiting.add(digest, call);
    return [];
  }

  private joinPending(pending: Pending, call: CallerKeyCall, at: Moment): readonly ClaimsEffect[] {
    if (pending.call.fingerprint !== call.fingerprint) {
      return [refuse(call.callId, unknownOutcome('in-flight'))];
    }
    this.waiting.add(call.digest, call);
    if (pending.unsure && pending.phase === 'sent' && !this.batch?.includes(call.digest)) {
      this.pending.set(call.digest, { ...pending, phase: 'queued' });
    }
    return pending.phase === 'won' ? this.start(pending, at) : [];
  }

  private lost(callId: CallId, claimant: Incarnation): ClaimsEffect {
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
        throw new Error(`a ledger answered a claimed call with ${verdict.kind}`);
    }
  }

  private leave(callId: CallId): readonly ClaimsEffect[] {
    const call = this.waiting.remove(callId);
    if (!call) return [];
    const pending = this.pending.get(call.digest);
    if (!pending) return [refuse(callId, unknownOutcome('in-flight'))];
    const unused = pending.phase === 'queued' && !pending.unsure;
    if (unused && this.waiting.on(call.digest).length === 0) this.pending.delete(call.digest);
    return [refuse(callId, logUnavailable)];
  }

  private read(event: Extract<ClaimsEvent, { kind: 'read' }>, at: Moment): readonly ClaimsEffect[] {
    if (event.from !== this.index.next) return [this.readOn(at.now)];
    this.logDown = false;
    const records = event.values.map((value) =>
      parseClaimRecord(value).toMaybe().extractNullable(),
    );
    records.forEach((record) => this.index.add(record, at));
    if (this.index.next >= event.next) {
      this.index.reachEnd();
      this.caughtUp = true;
    }
    const digests = records.flatMap((record) => record?.claims.map(([digest]) => digest) ?? []);
    const effects = [...new Set(digests)].flatMap((digest) => this.resolve(digest, at));
    return [...effects, this.readOn(at.now)];
  }

  private readOn(notBefore: Instant): ClaimsEffect {
    return { kind: 'read', from: this.index.next, notBefore, patient: this.caughtUp };
  }

  /** Acts on the first claim of a key, now that it is known. */
  private resolve(digest: KeyDigest, at: Moment): readonly ClaimsEffect[] {
    const pending = this.pending.get(digest);
    const first = this.index.first(digest);
    if (!pending || !first) return [];
    if (first.claimant === this.self && first.attempt === pending.call.attempt) {
      const won: Pending = { ...pending, phase: 'won' };
      this.pending.set(digest, won);
      return this.start(won, at);
    }
    this.pending.delete(digest);
    return this.waiting.release(digest).map(({ callId }) => this.lost(callId, first.claimant));
  }

  private start({ call: { digest } }: Pending, at: Moment): readonly ClaimsEffect[] {
    if (!this.index.covers(at)) return [];
    const live = this.waiting.on(digest).find(({ deadline }) => deadline > at.now);
    if (!live) return [];
    const { workspace, key, fingerprint } = live;
    const ref: KeyRef = { workspace, key, startBefore: at.now + this.limits.horizon };
    const verdict = this.ledger.apply({ kind: 'call', ref, fingerprint }, at.now);
    this.pending.delete(digest);
    if (verdict.kind === 'start') return [{ kind: 'run', call: live }];
    if (verdict.kind !== 'refuse') throw new Error(`a claimed key was already ${verdict.kind}`);
    const { outcome } = verdict;
    return this.waiting.release(digest).map(({ callId }) => refuse(callId, outcome));
  }

  private settle(call: CallerKeyCall, settlement: Settlement, at: Moment): readonly ClaimsEffect[] {
    const id = entryId(call.workspace, call.key);
    this.ledger.apply({ kind: 'settle', id, settlement }, at.now);
    const kept = this.ledger.get(id)?.settlement ?? settlement;
    return this.waiting.release(call.digest).flatMap((joined) => this.answer(joined, replay(kept)));
  }

  private readFailed({ now }: Moment): readonly ClaimsEffect[] {
    this.logDown = true;
    return [...this.giveUpQueued(), this.readOn(now + READ_BACKOFF)];
  }

  private appendFailed(sure: boolean): readonly ClaimsEffect[] {
    const batch = this.batch ?? [];
    this.batch = null;
    batch.forEach((digest) => {
      const pending = this.pending.get(digest);
      if (pending?.phase !== 'sent') return;
      const wanted = sure || this.waiting.on(digest).length > 0;
      const phase = wanted ? 'queued' : 'sent';
      this.pending.set(digest, { ...pending, phase, unsure: pending.unsure || !sure });
    });
    if (!sure) return [];
    this.logDown = true;
    return this.giveUpQueued();
  }

  /** Answers the calls whose claim can't be appended now. */
  private giveUpQueued(): readonly ClaimsEffect[] {
    const queued = [...this.pending.values()].filter(({ phase }) => phase === 'queued');
    return queued.flatMap(({ call: { digest }, unsure }) => {
      if (!unsure) this.pending.delete(digest);
      return this.waiting.release(digest).map(({ callId }) => refuse(callId, logUnavailable));
    });
  }

  private pump(at: Moment): readonly ClaimsEffect[] {
    if (!this.caughtUp || this.batch || at.now < this.nextAppendAt) return [];
    const queued = this.index.covers(at) ? this.queued() : [];
    if (queued.length === 0 && at.now < this.nextMarkAt) return [];
    queued.forEach((pending) => {
      this.pending.set(pending.call.digest, { ...pending, phase: 'sent' });
    });
    this.batch = queued.map(({ call }) => call.digest);
    this.nextAppendAt = at.now + this.limits.appendInterval;
    this.nextMarkAt = at.now + this.limits.horizon / MARKS_PER_HORIZON;
    return [{ kind: 'append', record: this.record(queued, at) }];
  }

  private queued(): readonly Pending[] {
    const wanted = [...this.pending.values()].filter(
      ({ call, phase }) => phase === 'queued' && this.waiting.on(call.digest).length > 0,
    );
    return wanted.slice(0, this.limits.maxBatch);
  }

  private sweepPending({ now }: Moment): void {
    this.pending.forEach(({ until, phase }, digest) => {
      const idle = phase !== 'sent' || !this.batch?.includes(digest);
      if (until <= now && idle && this.waiting.on(digest).length === 0) this.pending.delete(digest);
    });
  }

  private record(queued: readonly Pending[], { wall }: Moment): ClaimRecord {
    const claims = queued.map(({ call }) => [call.digest, call.attempt] as const);
    return { claimant: this.self, stamp: wall, through: this.index.next, claims };
  }
}
