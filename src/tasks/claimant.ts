/** Claims callers' own ("bare") idempotency keys in the platform's log; the first claim runs. */
import { createHash } from 'node:crypto';

import {
  CLAIM_RANGE_COUNT,
  claimantOf,
  claimLedgerLimits,
  claimRangeOf,
  ClaimRange,
  claimStream,
  Ledger,
  type CallerKeyCall,
  type ClaimLimits,
  type ClaimsEffect,
  type ClaimsEvent,
  type LedgerLimits,
} from '../core';
import {
  notRunOutcome,
  unknownOutcome,
  type Incarnation,
  type Member,
  type Millis,
  type NodeIdentity,
  type Refusal,
} from '../model';
import type { Clock, Handler, LogBatch, PeerLink, PlatformLog, Reply, Telemetry } from '../ports';

import { toStream } from './body';
import { fingerprintOf, HeldCalls, readKeyedBody, replyOf } from './held-calls';

const TICK_PERIOD_MS: Millis = 50;
const APPEND_TIMEOUT_MS: Millis = 2000;
/** Time in milliseconds that a read waits for new claims once the log's end was reached. */
const CLAIM_READ_WAIT_MS: Millis = 10_000;
/** Timeout in milliseconds of a read while the range is still catching up with the log. */
const CATCH_UP_READ_WAIT_MS: Millis = 250;
/** Length of a key's digest: 22 characters of base64url hold 132 bits. */
const DIGEST_LENGTH_CHARS = 22;

/** Holds the parts of the node that the task uses. */
export interface ClaimantContext {
  readonly self: NodeIdentity;
  readonly log: PlatformLog;
  readonly peers: PeerLink;
  readonly clock: Clock;
  readonly telemetry: Telemetry;
  readonly claimLimits: ClaimLimits;
  readonly ledgerLimits: LedgerLimits;
  /** Dispatches a call to an upstream. May answer `not-run` only if the call has not run at all. */
  readonly run: Handler;
}

const refused = (outcome: Refusal): Reply => ({ kind: 'refused', outcome });

/** Returns the event for a batch read from offset `from`; a gap means that records were trimmed. */
const readEvent = (from: number, { records, next }: LogBatch): ClaimsEvent => {
  const gap = records.findIndex(({ offset }, i) => offset !== from + i);
  const skipped = records[gap]?.offset;
  if (skipped !== undefined) return { kind: 'read-trimmed', first: skipped };
  return { kind: 'read', from, values: records.map(({ value }) => value), next };
};

/** Owns the ranges of bare keys that this node claims. */
export class ClaimantTask {
  private readonly ranges = new Map<number, ClaimRange>();

  private readonly ledger: Ledger;

  private readonly heldCalls: HeldCalls;

  private readonly ticker: NodeJS.Timeout;

  private members: readonly Member[] = [];

  /** The member that claims each range of keys, by the range's number. */
  private claimantByRange: readonly (Member | undefined)[] = [];

  /** Number of claim attempts so far; each attempt gets a number that this incarnation never reuses. */
  private attemptCount = 0;

  constructor(private readonly context: ClaimantContext) {
    const { clock, run, claimLimits, ledgerLimits } = context;
    this.ledger = Ledger.create(claimLedgerLimits(claimLimits, ledgerLimits), clock.now());
    this.heldCalls = new HeldCalls(clock, run, ledgerLimits.maxBodyBytes);
    this.ticker = setInterval(() => this.tick(), TICK_PERIOD_MS);
  }

  /** Returns the member that claims a caller's own key; undefined when there is none. */
  claimantOf(key: string): Member | undefined {
    return this.claimantByRange[claimRangeOf(key)];
  }

  /** Assigns the ranges to the members now known, this node included. */
  updateMembers(members: readonly Member[]): void {
    this.members = members;
    this.claimantByRange = Array.from({ length: CLAIM_RANGE_COUNT }, (_, range) =>
      claimantOf(range, members),
    );
    this.claimantByRange.forEach((member, range) => {
      if (member?.incarnation === this.context.self.incarnation) this.openRange(range);
    });
  }

  /** Serves a call whose bare key this node claims; refuses a call with another kind of key. */
  readonly serve: Handler = async (call, body, signal) => {
    const { key, workspace, deadline } = call;
    if (key.kind !== 'bare') return refused(notRunOutcome('bad-request'));
    const read = await readKeyedBody(call, body, signal, this.context.clock);
    if (read.kind === 'broken') return refused(unknownOutcome('timeout'));
    if (read.kind === 'too-large') return refused(notRunOutcome('body-too-large'));
    const range = claimRangeOf(key.key);
    const { callId, reply } = this.heldCalls.hold(call, read.bytes, signal, (leavingId) =>
      this.apply(range, { kind: 'leave', callId: leavingId }),
    );
    this.attemptCount += 1;
    const bare: CallerKeyCall = {
      callId,
      workspace,
      key: key.key,
      digest: createHash('sha256')
        .update(`${workspace.length}:${workspace}${key.key}`)
        .digest('base64url')
        .slice(0, DIGEST_LENGTH_CHARS),
      fingerprint: fingerprintOf(call, read.bytes),
      deadline,
      attempt: this.attemptCount,
    };
    this.apply(range, { kind: 'call', call: bare });
    return reply.then((given) => this.countRefusal(given));
  };

  close(): void {
    clearInterval(this.ticker);
    this.ranges.clear();
  }

  /** Applies an event to a range by its number; opens the range first if needed. */
  private apply(number: number, event: ClaimsEvent): void {
    this.applyTo(number, this.openRange(number), event);
  }

  private applyTo(number: number, range: ClaimRange, event: ClaimsEvent): void {
    const { clock } = this.context;
    const at = { now: clock.now(), wall: clock.wall() };
    range.apply(event, at).forEach((effect) => this.carryOut(number, range, effect));
  }

  /** Returns a range by its number; one that is new starts by reading its claims from the log. */
  private openRange(number: number): ClaimRange {
    const known = this.ranges.get(number);
    if (known) return known;
    const { self, claimLimits } = this.context;
    const range = new ClaimRange(self.incarnation, claimLimits, this.ledger);
    this.ranges.set(number, range);
    this.applyTo(number, range, { kind: 'open' });
    return range;
  }

  private carryOut(number: number, range: ClaimRange, effect: ClaimsEffect): void {
    const { telemetry } = this.context;
    switch (effect.kind) {
      case 'read':
        void this.read(number, range, effect);
        return;
      case 'append':
        void this.append(number, range, effect);
        return;
      case 'run':
        void this.heldCalls
          .start(effect.call.callId)
          .then((settlement) =>
            this.apply(number, { kind: 'settle', call: effect.call, settlement }),
          );
        return;
      case 'replay':
        telemetry.count('key-replayed');
        this.heldCalls.answer(effect.callId, replyOf(effect.answer));
        return;
      case 'refuse':
        this.heldCalls.answer(effect.callId, refused(effect.outcome));
        return;
      case 'ask':
        void this.askClaimant(effect.callId, effect.claimant);
    }
  }

  /** Reads a range's claims from the log, at `notBefore` at the earliest. */
  private async read(
    number: number,
    range: ClaimRange,
    { from, notBefore, longPoll: patient }: Extract<ClaimsEffect, { kind: 'read' }>,
  ): Promise<void> {
    const { log, clock } = this.context;
    const delay = notBefore - clock.now();
    if (delay > 0) {
      await new Promise((resolve) => {
        setTimeout(resolve, delay);
      });
    }
    if (this.ranges.get(number) !== range) return;
    const deadline = clock.now() + (patient ? CLAIM_READ_WAIT_MS : CATCH_UP_READ_WAIT_MS);
    const result = await log.read(claimStream(number), from, deadline);
    const event = result.caseOf<ClaimsEvent>({
      Left: (err) =>
        err.kind === 'log-trimmed'
          ? { kind: 'read-trimmed', first: err.first }
          : { kind: 'read-failed' },
      Right: (batch) => readEvent(from, batch),
    });
    if (this.ranges.get(number) === range) this.applyTo(number, range, event);
  }

  /** Appends a claim to the log of its range. */
  private async append(
    number: number,
    range: ClaimRange,
    { record }: Extract<ClaimsEffect, { kind: 'append' }>,
  ): Promise<void> {
    const { log, clock, telemetry } = this.context;
    const deadline = clock.now() + APPEND_TIMEOUT_MS;
    const result = await log.append(claimStream(number), record, deadline);
    const event = result.caseOf<ClaimsEvent>({
      Left: ({ kind }) => {
        telemetry.count('claim-append-failed', { reason: kind });
        return { kind: 'append-failed', isDefinite: kind === 'log-unavailable' };
      },
      Right: () => ({ kind: 'appended' }),
    });
    if (this.ranges.get(number) === range) this.applyTo(number, range, event);
  }

  /** Passes a call to the node that claimed its key first; only that one can know its outcome. */
  private async askClaimant(callId: string, claimant: Incarnation): Promise<void> {
    const held = this.heldCalls.take(callId);
    if (!held) return;
    const firstClaimant = this.members.find(({ incarnation }) => incarnation === claimant);
    if (!firstClaimant || firstClaimant.state === 'dead') {
      held.answer(refused(unknownOutcome('home-gone')));
      return;
    }
    this.context.telemetry.count('key-asked-of-claimant');
    const body = toStream({ kind: 'whole', bytes: held.bytes });
    const { signal } = new AbortController();
    const reply = await this.context.peers.call(firstClaimant, 'claimant', held.call, body, signal);
    const unsent = reply.kind === 'refused' && reply.unsent;
    held.answer(unsent ? refused(unknownOutcome('home-unreachable')) : reply);
  }

  /** Ticks all ranges, and drops idle ones that other members claim now. */
  private tick(): void {
    const { self, telemetry } = this.context;
    const isSelf = ({ incarnation }: Member): boolean => incarnation === self.incarnation;
    this.ranges.forEach((range, number) => {
      const claimant = this.claimantByRange[number];
      const isIdle = range.load.waiting === 0;
      if (isIdle && !(claimant && isSelf(claimant))) this.ranges.delete(number);
      else this.applyTo(number, range, { kind: 'tick' });
    });
    telemetry.gauge('claim-ranges', this.ranges.size);
  }

  /** Counts a reply that is a refusal, and returns every reply unchanged. */
  private countRefusal(reply: Reply): Reply {
    if (reply.kind === 'answer') return reply;
    const { kind: outcome, reason } = reply.outcome;
    this.context.telemetry.count('key-refused', { role: 'claimant', outcome, reason });
    return reply;
  }
}
