/** Claims bare keys in the platform's log, and runs those whose claim comes first. */
import { createHash } from 'node:crypto';

import {
  CLAIM_RANGES,
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

const TICK_EVERY: Millis = 50;
const APPEND_TIMEOUT: Millis = 2000;
const CLAIM_READ_WAIT_MS: Millis = 10_000;
const FIRST_READ_WAIT: Millis = 250;
/** 132 bits of base64url. */
const DIGEST_LENGTH = 22;

/** What the task works with. */
export interface ClaimantContext {
  readonly self: NodeIdentity;
  readonly log: PlatformLog;
  readonly peers: PeerLink;
  readonly clock: Clock;
  readonly telemetry: Telemetry;
  readonly claimLimits: ClaimLimits;
  readonly ledgerLimits: LedgerLimits;
  /** Dispatches a call to an upstream; its `not-run` must be true. */
  readonly run: Handler;
}

const refused = (outcome: Refusal): Reply => ({ kind: 'refused', outcome });

/** What a batch from the log tells a range that asked for `from` on. */
const readEvent = (from: number, { records, next }: LogBatch): ClaimsEvent => {
  const gap = records.findIndex(({ offset }, i) => offset !== from + i);
  const skipped = records[gap]?.offset;
  if (skipped !== undefined) return { kind: 'read-trimmed', first: skipped };
  return { kind: 'read', from, values: records.map(({ value }) => value), next };
};

/** Owns the ranges of bare keys that fall to this node. */
export class ClaimantTask {
  private readonly ranges = new Map<number, ClaimRange>();

  private readonly ledger: Ledger;

  private readonly held: HeldCalls;

  private readonly ticker: NodeJS.Timeout;

  private members: readonly Member[] = [];

  private claimants: readonly (Member | undefined)[] = [];

  private attempts = 0;

  constructor(private readonly context: ClaimantContext) {
    const { clock, run, claimLimits, ledgerLimits } = context;
    this.ledger = Ledger.create(claimLedgerLimits(claimLimits, ledgerLimits), clock.now());
    this.held = new HeldCalls(clock, run, ledgerLimits.maxBodyBytes);
    this.ticker = setInterval(() => this.tick(), TICK_EVERY);
  }

  /** The member that claims a caller's own key. */
  claimantOf(key: string): Member | undefined {
    return this.claimants[claimRangeOf(key)];
  }

  /** Takes the members now known, this node among them. */
  updateMembers(members: readonly Member[]): void {
    this.members = members;
    this.claimants = Array.from({ length: CLAIM_RANGES }, (_, range) => claimantOf(range, members));
    this.claimants.forEach((member, range) => {
      if (member?.incarnation === this.context.self.incarnation) this.open(range);
    });
  }

  /** Serves a call under a caller's own key that falls to this node. */
  readonly serve: Handler = async (call, body, signal) => {
    const { key, workspace, deadline } = call;
    if (key.kind !== 'bare') return refused(notRunOutcome('bad-request'));
    const read = await readKeyedBody(call, body, signal, this.context.clock);
    if (read.kind === 'broken') return refused(unknownOutcome('timeout'));
    if (read.kind === 'too-large') return refused(notRunOutcome('body-too-large'));
    const range = claimRangeOf(key.key);
    const { callId, reply } = this.held.hold(call, read.bytes, signal, (left) =>
      this.apply(range, { kind: 'leave', callId: left }),
    );
    this.attempts += 1;
    const bare: CallerKeyCall = {
      callId,
      workspace,
      key: key.key,
      digest: createHash('sha256')
        .update(`${workspace.length}:${workspace}${key.key}`)
        .digest('base64url')
        .slice(0, DIGEST_LENGTH),
      fingerprint: fingerprintOf(call, read.bytes),
      deadline,
      attempt: this.attempts,
    };
    this.apply(range, { kind: 'call', call: bare });
    return reply.then((given) => this.counted(given));
  };

  close(): void {
    clearInterval(this.ticker);
    this.ranges.clear();
  }

  private apply(number: number, event: ClaimsEvent): void {
    this.applyTo(number, this.open(number), event);
  }

  private applyTo(number: number, range: ClaimRange, event: ClaimsEvent): void {
    const { clock } = this.context;
    const at = { now: clock.now(), wall: clock.wall() };
    range.apply(event, at).forEach((effect) => this.carryOut(number, range, effect));
  }

  private open(number: number): ClaimRange {
    const held = this.ranges.get(number);
    if (held) return held;
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
        void this.held
          .start(effect.call.callId)
          .then((settlement) =>
            this.apply(number, { kind: 'settle', call: effect.call, settlement }),
          );
        return;
      case 'replay':
        telemetry.count('key-replayed');
        this.held.answer(effect.callId, replyOf(effect.answer));
        return;
      case 'refuse':
        this.held.answer(effect.callId, refused(effect.outcome));
        return;
      case 'ask':
        void this.ask(effect.callId, effect.claimant);
    }
  }

  private async read(
    number: number,
    range: ClaimRange,
    { from, notBefore, patient }: Extract<ClaimsEffect, { kind: 'read' }>,
  ): Promise<void> {
    const { log, clock } = this.context;
    const delay = notBefore - clock.now();
    if (delay > 0) {
      await new Promise((resolve) => {
        setTimeout(resolve, delay);
      });
    }
    if (this.ranges.get(number) !== range) return;
    const deadline = clock.now() + (patient ? CLAIM_READ_WAIT_MS : FIRST_READ_WAIT);
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

  private async append(
    number: number,
    range: ClaimRange,
    { record }: Extract<ClaimsEffect, { kind: 'append' }>,
  ): Promise<void> {
    const { log, clock, telemetry } = this.context;
    const deadline = clock.now() + APPEND_TIMEOUT;
    const result = await log.append(claimStream(number), record, deadline);
    const event = result.caseOf<ClaimsEvent>({
      Left: ({ kind }) => {
        telemetry.count('claim-append-failed', { reason: kind });
        return { kind: 'append-failed', sure: kind === 'log-unavailable' };
      },
      Right: () => ({ kind: 'appended' }),
    });
    if (this.ranges.get(number) === range) this.applyTo(number, range, event);
  }

  /** Passes a call to the node that claimed its key first, the only one that can know its end. */
  private async ask(callId: string, claimant: Incarnation): Promise<void> {
    const held = this.held.take(callId);
    if (!held) return;
    const winner = this.members.find(({ incarnation }) => incarnation === claimant);
    if (!winner || winner.state === 'dead') {
      held.answer(refused(unknownOutcome('home-gone')));
      return;
    }
    this.context.telemetry.count('key-asked-of-claimant');
    const body = toStream({ kind: 'whole', bytes: held.bytes });
    const { signal } = new AbortController();
    const reply = await this.context.peers.call(winner, 'claimant', held.call, body, signal);
    const unsent = reply.kind === 'refused' && reply.unsent;
    held.answer(unsent ? refused(unknownOutcome('home-unreachable')) : reply);
  }

  private tick(): void {
    const { self, telemetry } = this.context;
    const mine = ({ incarnation }: Member): boolean => incarnation === self.incarnation;
    this.ranges.forEach((range, number) => {
      const claimant = this.claimants[number];
      const idle = range.load.waiting === 0;
      if (idle && !(claimant && mine(claimant))) this.ranges.delete(number);
      else this.applyTo(number, range, { kind: 'tick' });
    });
    telemetry.gauge('claim-ranges', this.ranges.size);
  }

  private counted(reply: Reply): Reply {
    if (reply.kind === 'answer') return reply;
    const { kind: outcome, reason } = reply.outcome;
    this.context.telemetry.count('key-refused', { role: 'claimant', outcome, reason });
    return reply;
  }
}
