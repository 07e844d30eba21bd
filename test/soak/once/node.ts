import {
  type CallerKeyCall,
  ClaimRange,
  type ClaimsEffect,
  type ClaimsEvent,
  DEFAULT_CLAIM_LIMITS,
  DEFAULT_LEDGER_LIMITS,
  type HandoverMessage,
  Successors,
  Homes,
  type HomesEffect,
  type HomesEvent,
  Ledger,
  type Settlement,
  claimLedgerLimits,
  routeHomedCall,
} from '../../../src/core';
import {
  type Member,
  type NodeIdentity,
  notRunOutcome,
  peerKey,
  unknownOutcome,
} from '../../../src/model';

import type { RequestCopy, CopyOutcome, OnceEnvironment } from './environment';

/** Time after the issue of a key prefix in which requests may start under it. */
export const START_WINDOW_MS = 10_000;
/** Time for which a claim in the log is remembered. */
export const CLAIM_HORIZON_MS = 60_000;
/** Number of ranges into which caller keys are divided. */
export const CLAIM_RANGE_COUNT = 3;
/** Time for which a node remembers the successor of a stopped node. */
const SUCCESSOR_RECORD_TTL_MS = 60_000;
const TICK_PERIOD_MS = 100;
/** Largest response body that a ledger keeps for replay. */
const MAX_KEPT_BODY_BYTES = 100;
const HOME_LEDGER_LIMITS = {
  ...DEFAULT_LEDGER_LIMITS,
  startWindow: START_WINDOW_MS,
  retention: 12_000,
  maxEntries: 60,
  maxBodyBytes: MAX_KEPT_BODY_BYTES,
};
const CLAIM_LIMITS = {
  ...DEFAULT_CLAIM_LIMITS,
  horizon: CLAIM_HORIZON_MS,
  clockSkew: 500,
  appendInterval: 50,
};
const CLAIM_LEDGER_LIMITS = { ...DEFAULT_LEDGER_LIMITS, maxBodyBytes: MAX_KEPT_BODY_BYTES };

/** Returns the claim range of a caller key, from 0 to `CLAIM_RANGE_COUNT` - 1. */
export const rangeOf = (key: string): number => key.length % CLAIM_RANGE_COUNT;

/** A copy in this process and the callback that answers it. */
interface HeldCall {
  readonly copy: RequestCopy;
  readonly reply: (end: CopyOutcome) => void;
}

/**
 * One node process: `Homes` and `ClaimRange` from the core, connected to the simulated network, log
 * and upstreams.
 */
export class SimNode {
  readonly homes: Homes;

  /** Whether the process has ended. */
  hasEnded = false;

  isStopping = false;

  /** Virtual time until which the process is paused. */
  frozenUntil = 0;

  /** Known successors of stopped nodes. */
  successors = Successors.none;

  /** Incarnations that this node believes dead; the belief may be wrong. */
  readonly deadIncarnations = new Set<string>();

  /** Claim ranges that this node has open, by number. */
  private readonly claimRanges = new Map<number, ClaimRange>();

  /** Ledger of the runs for all claim ranges. */
  private readonly claimLedger: Ledger;

  /** Unanswered calls by call id. */
  private readonly heldCalls = new Map<string, HeldCall>();

  private attemptCount = 0;

  /** Offset in milliseconds of this node's monotonic clock from virtual time. */
  private readonly monotonicOffset: number;

  /** Offset in milliseconds of this node's wall clock from virtual time. */
  private readonly wallClockSkew: number;

  constructor(
    private readonly environment: OnceEnvironment,
    readonly id: NodeIdentity,
    private readonly others: () => readonly SimNode[],
  ) {
    this.monotonicOffset = environment.sim.between(0, 1e6);
    this.wallClockSkew = environment.sim.between(-200, 200);
    this.homes = new Homes(id, HOME_LEDGER_LIMITS, this.now);
    this.claimLedger = Ledger.create(
      claimLedgerLimits(CLAIM_LIMITS, CLAIM_LEDGER_LIMITS),
      this.now,
    );
  }

  /** Time on the node's monotonic clock. */
  get now(): number {
    return this.environment.sim.now + this.monotonicOffset;
  }

  get address(): string {
    return peerKey(this.id);
  }

  /** Ends the process; callbacks that are due later do not run. */
  end(): void {
    this.hasEnded = true;
  }

  /** Calls `run` now, or after the current pause; never if the process has ended by then. */
  whenAwake(run: () => void): void {
    const { sim } = this.environment;
    if (this.hasEnded) return;
    if (sim.now >= this.frozenUntil) return run();
    sim.after(this.frozenUntil - sim.now + sim.between(0, 5), () => this.whenAwake(run));
  }

  /** Calls `run` after `delay` milliseconds, or after a pause that lasts longer. */
  after(delay: number, run: () => void): void {
    this.environment.sim.after(delay, () => this.whenAwake(run));
  }

  /** Handles a copy that arrives from its caller. */
  serve(copy: RequestCopy, reply: (end: CopyOutcome) => void): void {
    const { home } = copy.request;
    if (home === null) return this.serveCallerKey(copy, reply);
    if (this.homes.has(home)) return this.serveHomed(copy, reply);
    const route = routeHomedCall(home, this.successors, (name) => this.member(name));
    if (route.kind === 'refuse') return reply(route.outcome);
    this.forward(route.to, copy, reply, (node, answer) => node.serveHomedFromPeer(copy, answer));
  }

  /** Handles a handover message from another node. */
  receiveMessage(message: HandoverMessage): void {
    if (message.kind === 'heirs') {
      this.successors = this.successors.learn(
        message.heirs,
        this.now + SUCCESSOR_RECORD_TTL_MS,
        this.now,
      );
    }
    this.applyToHomes({ kind: 'message', message });
  }

  /** Takes a node for dead from now on. */
  markDead(incarnation: string): void {
    this.deadIncarnations.add(incarnation);
    this.applyToHomes({ kind: 'member-dead', incarnation });
  }

  /** Starts a planned stop that hands the ledgers over to `successor`. */
  stop(successor: NodeIdentity): void {
    this.isStopping = true;
    this.environment.tally.handovers += 1;
    this.applyToHomes({ kind: 'stop', successor });
  }

  member(incarnation: string): Member | undefined {
    const node = this.others().find(({ id }) => id.incarnation === incarnation);
    if (this.deadIncarnations.has(incarnation)) return { ...(node?.id ?? this.id), state: 'dead' };
    return node && { ...node.id, state: 'alive' };
  }

  /** Serves a copy that a peer forwarded because it takes this node for the key's home. */
  private serveHomedFromPeer(copy: RequestCopy, reply: (end: CopyOutcome) => void): void {
    const { home } = copy.request;
    if (home !== null && this.homes.has(home)) return this.serveHomed(copy, reply);
    reply(unknownOutcome('home-unreachable'));
  }

  private serveHomed(copy: RequestCopy, reply: (end: CopyOutcome) => void): void {
    const callId = this.holdCall(copy, reply);
    const { workspace, key, startBefore, home } = copy.request;
    const call = {
      callId,
      home: home!,
      ref: { workspace, key, startBefore },
      fingerprint: copy.body,
      deadline: copy.deadline + this.monotonicOffset,
    };
    this.applyToHomes({ kind: 'call', call });
    this.atDeadline(copy, () => this.applyToHomes({ kind: 'leave', callId }));
  }

  private applyToHomes(event: HomesEvent): void {
    this.homes.apply(event, this.now).forEach((effect) => this.executeHomeEffect(effect));
  }

  private executeHomeEffect(effect: HomesEffect): void {
    switch (effect.kind) {
      case 'run': {
        const { home, id } = effect;
        return this.run(this.heldCalls.get(effect.callId)!.copy, (settlement) =>
          this.applyToHomes({ kind: 'settle', home, id, settlement }),
        );
      }
      case 'replay':
        return this.reply(effect.callId, {
          kind: 'answer',
          body: effect.answer.body && new TextDecoder().decode(effect.answer.body),
        });
      case 'refuse':
        return this.reply(effect.callId, effect.outcome);
      case 'not-here':
        return this.reply(effect.callId, unknownOutcome('home-unreachable'));
      case 'forward': {
        const call = this.heldCalls.get(effect.callId);
        if (!call) return;
        this.heldCalls.delete(effect.callId);
        return this.forward(effect.to, call.copy, call.reply, (node, answer) =>
          node.serveHomedFromPeer(call.copy, answer),
        );
      }
      case 'send':
        return this.environment.send(this.address, peerKey(effect.to), (node) =>
          node.receiveMessage(effect.message),
        );
      case 'announce':
        this.successors = this.successors.learn(
          [effect.successor],
          this.now + SUCCESSOR_RECORD_TTL_MS,
          this.now,
        );
        return this.others().forEach(({ address }) =>
          this.environment.send(this.address, address, (node) =>
            node.receiveMessage({ kind: 'heirs', heirs: [effect.successor] }),
          ),
        );
    }
  }

  /** Serves a copy whose key the caller chose, at the claimant of the key's range. */
  private serveCallerKey(copy: RequestCopy, reply: (end: CopyOutcome) => void): void {
    const claimant = this.claimantOf(rangeOf(copy.request.key));
    if (claimant === this) return this.claim(copy, reply);
    this.forward(claimant.id, copy, reply, (node, answer) => node.claim(copy, answer));
  }

  private claim(copy: RequestCopy, reply: (end: CopyOutcome) => void): void {
    const callId = this.holdCall(copy, reply);
    const { workspace, key } = copy.request;
    this.attemptCount += 1;
    const call: CallerKeyCall = {
      callId,
      workspace,
      key,
      digest: `${workspace}/${key}`,
      fingerprint: copy.body,
      deadline: copy.deadline + this.monotonicOffset,
      attempt: this.attemptCount,
    };
    const number = rangeOf(key);
    this.applyToRange(number, { kind: 'call', call });
    this.atDeadline(copy, () => this.applyToRange(number, { kind: 'leave', callId }));
  }

  private applyToRange(number: number, event: ClaimsEvent): void {
    const claimRange = this.claimRanges.get(number) ?? this.openRange(number);
    const at = { now: this.now, wall: this.environment.sim.now + this.wallClockSkew };
    claimRange
      .apply(event, at)
      .forEach((effect) => this.executeClaimEffect(number, claimRange, effect));
  }

  private openRange(number: number): ClaimRange {
    const claimRange = new ClaimRange(this.id.incarnation, CLAIM_LIMITS, this.claimLedger);
    this.claimRanges.set(number, claimRange);
    this.applyToRange(number, { kind: 'open' });
    return claimRange;
  }

  private executeClaimEffect(number: number, claimRange: ClaimRange, effect: ClaimsEffect): void {
    const report = (event: ClaimsEvent): void =>
      this.whenAwake(() => {
        if (this.claimRanges.get(number) === claimRange) this.applyToRange(number, event);
      });
    switch (effect.kind) {
      case 'read':
        return this.after(effect.notBefore - this.now, () =>
          this.environment.log.read(number, effect.from, (end) => {
            if (end.kind === 'trimmed') report({ kind: 'read-trimmed', first: end.first });
            else if (end.kind === 'failed') report({ kind: 'read-failed' });
            else report({ ...end, from: effect.from });
          }),
        );
      case 'append':
        return this.environment.log.append(number, effect.record, (end) =>
          report(
            end === 'appended'
              ? { kind: 'appended' }
              : { kind: 'append-failed', isDefinite: end === 'unavailable' },
          ),
        );
      case 'run':
        return this.run(this.heldCalls.get(effect.call.callId)!.copy, (settlement) =>
          this.applyToRange(number, { kind: 'settle', call: effect.call, settlement }),
        );
      case 'replay':
        return this.reply(effect.callId, {
          kind: 'answer',
          body: effect.answer.body && new TextDecoder().decode(effect.answer.body),
        });
      case 'refuse':
        return this.reply(effect.callId, effect.outcome);
      case 'ask': {
        const call = this.heldCalls.get(effect.callId);
        this.heldCalls.delete(effect.callId);
        const claimant = this.member(effect.claimant);
        if (!call) return;
        if (claimant?.state !== 'alive') return call.reply(unknownOutcome('home-gone'));
        return this.forward(claimant, call.copy, call.reply, (node, answer) =>
          node.claim(call.copy, answer),
        );
      }
    }
  }

  /**
   * Runs a call as a shard's owner does: waits for a slot, checks the deadline, and sends the call to
   * an upstream once. Calls `settle` once, or never if the process ends first.
   */
  private run(copy: RequestCopy, settle: (settlement: Settlement) => void): void {
    const { sim } = this.environment;
    let phase: 'queued' | 'sent' | 'ended' = 'queued';
    const end = (settlement: Settlement): void => {
      if (phase === 'ended') return;
      phase = 'ended';
      settle(settlement);
    };
    this.after(sim.chance(0.1) ? sim.between(0, 4000) : sim.between(0, 30), () => {
      if (phase === 'ended') return;
      if (sim.now >= copy.deadline) return end(notRunOutcome('deadline-passed'));
      if (sim.chance(0.03)) return end(notRunOutcome('queue-full'));
      phase = 'sent';
      const delay = sim.chance(0.03) ? sim.between(0, 10_000) : sim.between(0.1, 5);
      sim.after(delay, () =>
        this.environment.sendToUpstream(copy, (settlement) =>
          this.whenAwake(() => end(settlement)),
        ),
      );
    });
    this.atDeadline(copy, () =>
      end(phase === 'sent' ? unknownOutcome('timeout') : notRunOutcome('deadline-passed')),
    );
  }

  /** Forwards a copy to another node, and answers it with that node's outcome or at its deadline. */
  private forward(
    to: NodeIdentity,
    copy: RequestCopy,
    reply: (end: CopyOutcome) => void,
    serve: (node: SimNode, answer: (end: CopyOutcome) => void) => void,
  ): void {
    const callId = this.holdCall(copy, reply);
    this.environment.send(this.address, peerKey(to), (node) =>
      serve(node, (end) =>
        this.environment.send(node.address, this.address, (entry) => {
          if (entry === this) this.reply(callId, end);
        }),
      ),
    );
    this.atDeadline(copy, () => this.reply(callId, unknownOutcome('home-unreachable')));
  }

  /** Stores a call until it is answered; returns its call id. */
  private holdCall(copy: RequestCopy, reply: (end: CopyOutcome) => void): string {
    const callId = `${this.id.incarnation}-${this.environment.nextSerial()}`;
    this.heldCalls.set(callId, { copy, reply });
    return callId;
  }

  private reply(callId: string, end: CopyOutcome): void {
    const call = this.heldCalls.get(callId);
    this.heldCalls.delete(callId);
    call?.reply(end);
  }

  private atDeadline({ deadline }: RequestCopy, run: () => void): void {
    this.after(Math.max(0, deadline - this.environment.sim.now), run);
  }

  /**
   * Returns the node that this node believes to be the claimant of a range: among itself and the
   * nodes that it believes alive, the one whose weight comes first in string order.
   */
  private claimantOf(number: number): SimNode {
    const weight = ({ id }: SimNode): string =>
      `${(id.incarnation.charCodeAt(id.incarnation.length - 1) * (number + 7)) % 11}`;
    const alive = this.others().filter(({ id }) => !this.deadIncarnations.has(id.incarnation));
    return [this, ...alive].sort((a, b) => (weight(a) < weight(b) ? -1 : 1))[0]!;
  }

  /** Runs one tick and schedules the next; a node also drops ranges of others at random times. */
  tick(): void {
    this.applyToHomes({ kind: 'tick' });
    for (let number = 0; number < CLAIM_RANGE_COUNT; number++) {
      const isClaimant = !this.isStopping && this.claimantOf(number) === this;
      if (isClaimant || this.claimRanges.has(number)) this.applyToRange(number, { kind: 'tick' });
      if (!isClaimant && this.environment.sim.chance(0.01)) this.claimRanges.delete(number);
    }
    this.after(TICK_PERIOD_MS, () => this.tick());
  }
}
