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

import type { Copy, CopyEnd, World } from './world';

export const START_WINDOW = 10_000;
export const HORIZON = 60_000;
export const RANGES = 3;
const SUCCESSOR_RECORD_TTL = 60_000;
const TICK = 100;
const KEPT_BYTES = 100;
const LEDGER = {
  ...DEFAULT_LEDGER_LIMITS,
  startWindow: START_WINDOW,
  retention: 12_000,
  maxEntries: 60,
  maxBodyBytes: KEPT_BYTES,
};
const CLAIMS = { ...DEFAULT_CLAIM_LIMITS, horizon: HORIZON, clockSkew: 500, appendInterval: 50 };
const LEDGER_OF_CLAIMS = { ...DEFAULT_LEDGER_LIMITS, maxBodyBytes: KEPT_BYTES };

export const rangeOf = (key: string): number => key.length % RANGES;

interface Held {
  readonly copy: Copy;
  readonly reply: (end: CopyEnd) => void;
}

/** One process: the cores bound to the fake network, log and upstreams. */
export class SimNode {
  readonly homes: Homes;

  gone = false;

  stopping = false;

  frozenUntil = 0;

  heirs = Successors.none;

  readonly dead = new Set<string>();

  private readonly ranges = new Map<number, ClaimRange>();

  private readonly claimed: Ledger;

  private readonly held = new Map<string, Held>();

  private attempts = 0;

  /** The clocks of this node less the world's. */
  private readonly monotonic: number;

  private readonly wallSkew: number;

  constructor(
    private readonly world: World,
    readonly id: NodeIdentity,
    private readonly others: () => readonly SimNode[],
  ) {
    this.monotonic = world.sim.between(0, 1e6);
    this.wallSkew = world.sim.between(-200, 200);
    this.homes = new Homes(id, LEDGER, this.now);
    this.claimed = Ledger.create(claimLedgerLimits(CLAIMS, LEDGER_OF_CLAIMS), this.now);
  }

  get now(): number {
    return this.world.sim.now + this.monotonic;
  }

  get address(): string {
    return peerKey(this.id);
  }

  /** The process ends: nothing more comes of it. */
  end(): void {
    this.gone = true;
  }

  /** Runs now, or when the process is next scheduled, or never if it has ended by then. */
  whenAwake(run: () => void): void {
    const { sim } = this.world;
    if (this.gone) return;
    if (sim.now >= this.frozenUntil) return run();
    sim.after(this.frozenUntil - sim.now + sim.between(0, 5), () => this.whenAwake(run));
  }

  after(delay: number, run: () => void): void {
    this.world.sim.after(delay, () => this.whenAwake(run));
  }

  /** A copy arrives from its caller. */
  serve(copy: Copy, reply: (end: CopyEnd) => void): void {
    const { home } = copy.order;
    if (home === null) return this.serveCallerKey(copy, reply);
    if (this.homes.has(home)) return this.serveHomed(copy, reply);
    const route = routeHomedCall(home, this.heirs, (name) => this.member(name));
    if (route.kind === 'refuse') return reply(route.outcome);
    this.forward(route.to, copy, reply, (node, answer) => node.serveHomedFromPeer(copy, answer));
  }

  hear(message: HandoverMessage): void {
    if (message.kind === 'heirs') {
      this.heirs = this.heirs.learn(message.heirs, this.now + SUCCESSOR_RECORD_TTL, this.now);
    }
    this.home({ kind: 'message', message });
  }

  learnDead(incarnation: string): void {
    this.dead.add(incarnation);
    this.home({ kind: 'member-dead', incarnation });
  }

  stop(heir: NodeIdentity): void {
    this.stopping = true;
    this.world.tally.handovers += 1;
    this.home({ kind: 'stop', successor: heir });
  }

  member(incarnation: string): Member | undefined {
    const node = this.others().find(({ id }) => id.incarnation === incarnation);
    if (this.dead.has(incarnation)) return { ...(node?.id ?? this.id), state: 'dead' };
    return node && { ...node.id, state: 'alive' };
  }

  private serveHomedFromPeer(copy: Copy, reply: (end: CopyEnd) => void): void {
    const { home } = copy.order;
    if (home !== null && this.homes.has(home)) return this.serveHomed(copy, reply);
    reply(unknownOutcome('home-unreachable'));
  }

  private serveHomed(copy: Copy, reply: (end: CopyEnd) => void): void {
    const callId = this.hold(copy, reply);
    const { workspace, key, startBefore, home } = copy.order;
    const call = {
      callId,
      home: home!,
      ref: { workspace, key, startBefore },
      fingerprint: copy.body,
      deadline: copy.deadline + this.monotonic,
    };
    this.home({ kind: 'call', call });
    this.atDeadline(copy, () => this.home({ kind: 'leave', callId }));
  }

  private home(event: HomesEvent): void {
    this.homes.apply(event, this.now).forEach((effect) => this.act(effect));
  }

  private act(effect: HomesEffect): void {
    switch (effect.kind) {
      case 'run': {
        const { home, id } = effect;
        return this.run(this.held.get(effect.callId)!.copy, (settlement) =>
          this.home({ kind: 'settle', home, id, settlement }),
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
        const held = this.held.get(effect.callId);
        if (!held) return;
        this.held.delete(effect.callId);
        return this.forward(effect.to, held.copy, held.reply, (node, answer) =>
          node.serveHomedFromPeer(held.copy, answer),
        );
      }
      case 'send':
        return this.world.send(this.address, peerKey(effect.to), (node) =>
          node.hear(effect.message),
        );
      case 'announce':
        this.heirs = this.heirs.learn(
          [effect.successor],
          this.now + SUCCESSOR_RECORD_TTL,
          this.now,
        );
        return this.others().forEach(({ address }) =>
          this.world.send(this.address, address, (node) =>
            node.hear({ kind: 'heirs', heirs: [effect.successor] }),
          ),
        );
    }
  }

  private serveCallerKey(copy: Copy, reply: (end: CopyEnd) => void): void {
    const claimant = this.claimantOf(rangeOf(copy.order.key));
    if (claimant === this) return this.claim(copy, reply);
    this.forward(claimant.id, copy, reply, (node, answer) => node.claim(copy, answer));
  }

  private claim(copy: Copy, reply: (end: CopyEnd) => void): void {
    const callId = this.hold(copy, reply);
    const { workspace, key } = copy.order;
    this.attempts += 1;
    const call: CallerKeyCall = {
      callId,
      workspace,
      key,
      digest: `${workspace}/${key}`,
      fingerprint: copy.body,
      deadline: copy.deadline + this.monotonic,
      attempt: this.attempts,
    };
    const number = rangeOf(key);
    this.range(number, { kind: 'call', call });
    this.atDeadline(copy, () => this.range(number, { kind: 'leave', callId }));
  }

  private range(number: number, event: ClaimsEvent): void {
    const range = this.ranges.get(number) ?? this.open(number);
    const at = { now: this.now, wall: this.world.sim.now + this.wallSkew };
    range.apply(event, at).forEach((effect) => this.actOn(number, range, effect));
  }

  private open(number: number): ClaimRange {
    const range = new ClaimRange(this.id.incarnation, CLAIMS, this.claimed);
    this.ranges.set(number, range);
    this.range(number, { kind: 'open' });
    return range;
  }

  private actOn(number: number, range: ClaimRange, effect: ClaimsEffect): void {
    const report = (event: ClaimsEvent): void =>
      this.whenAwake(() => {
        if (this.ranges.get(number) === range) this.range(number, event);
      });
    switch (effect.kind) {
      case 'read':
        return this.after(effect.notBefore - this.now, () =>
          this.world.log.read(number, effect.from, (end) => {
            if (end.kind === 'trimmed') report({ kind: 'read-trimmed', first: end.first });
            else if (end.kind === 'failed') report({ kind: 'read-failed' });
            else report({ ...end, from: effect.from });
          }),
        );
      case 'append':
        return this.world.log.append(number, effect.record, (end) =>
          report(
            end === 'appended'
              ? { kind: 'appended' }
              : { kind: 'append-failed', isDefinite: end === 'unavailable' },
          ),
        );
      case 'run':
        return this.run(this.held.get(effect.call.callId)!.copy, (settlement) =>
          this.range(number, { kind: 'settle', call: effect.call, settlement }),
        );
      case 'replay':
        return this.reply(effect.callId, {
          kind: 'answer',
          body: effect.answer.body && new TextDecoder().decode(effect.answer.body),
        });
      case 'refuse':
        return this.reply(effect.callId, effect.outcome);
      case 'ask': {
        const held = this.held.get(effect.callId);
        this.held.delete(effect.callId);
        const winner = this.member(effect.claimant);
        if (!held) return;
        if (winner?.state !== 'alive') return held.reply(unknownOutcome('home-gone'));
        return this.forward(winner, held.copy, held.reply, (node, answer) =>
          node.claim(held.copy, answer),
        );
      }
    }
  }

  /** The owner's part: waits for a slot, checks the clock, sends to an upstream once. */
  private run(copy: Copy, settle: (settlement: Settlement) => void): void {
    const { sim } = this.world;
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
        this.world.upstream(copy, (settlement) => this.whenAwake(() => end(settlement))),
      );
    });
    this.atDeadline(copy, () =>
      end(phase === 'sent' ? unknownOutcome('timeout') : notRunOutcome('deadline-passed')),
    );
  }

  private forward(
    to: NodeIdentity,
    copy: Copy,
    reply: (end: CopyEnd) => void,
    serve: (node: SimNode, answer: (end: CopyEnd) => void) => void,
  ): void {
    const callId = this.hold(copy, reply);
    this.world.send(this.address, peerKey(to), (node) =>
      serve(node, (end) =>
        this.world.send(node.address, this.address, (entry) => {
          if (entry === this) this.reply(callId, end);
        }),
      ),
    );
    this.atDeadline(copy, () => this.reply(callId, unknownOutcome('home-unreachable')));
  }

  private hold(copy: Copy, reply: (end: CopyEnd) => void): string {
    const callId = `${this.id.incarnation}-${this.world.nextSerial()}`;
    this.held.set(callId, { copy, reply });
    return callId;
  }

  private reply(callId: string, end: CopyEnd): void {
    const held = this.held.get(callId);
    this.held.delete(callId);
    held?.reply(end);
  }

  private atDeadline({ deadline }: Copy, run: () => void): void {
    this.after(Math.max(0, deadline - this.world.sim.now), run);
  }

  /** The believed claimant of a range: each live node has its weight for it. */
  private claimantOf(number: number): SimNode {
    const weight = ({ id }: SimNode): string =>
      `${(id.incarnation.charCodeAt(id.incarnation.length - 1) * (number + 7)) % 11}`;
    const alive = this.others().filter(({ id }) => !this.dead.has(id.incarnation));
    return [this, ...alive].sort((a, b) => (weight(a) < weight(b) ? -1 : 1))[0]!;
  }

  /** Starts the process's timer. */
  tick(): void {
    this.home({ kind: 'tick' });
    for (let number = 0; number < RANGES; number++) {
      const mine = !this.stopping && this.claimantOf(number) === this;
      if (mine || this.ranges.has(number)) this.range(number, { kind: 'tick' });
      if (!mine && this.world.sim.chance(0.01)) this.ranges.delete(number);
    }
    this.after(TICK, () => this.tick());
  }
}
