/** Home of the idempotency keys that a node issued or took over: it answers for their calls. */
import type { Homes, HomesEffect, HomesEvent, KeyRef } from '../core';
import {
  notRunOutcome,
  unknownOutcome,
  type Call,
  type NodeIdentity,
  type Refusal,
} from '../model';
import type { Clock, Handler, Reply, Telemetry } from '../ports';

import { toStream } from './body';
import { fingerprintOf, HeldCalls, readKeyedBody, replyOf } from './held-calls';

/** Names the effects that the handover task carries out. */
export type HandoverEffect = Extract<HomesEffect, { kind: 'send' | 'announce' }>;

/** Holds the parts of the node that the task uses. */
export interface HomeContext {
  readonly homes: Homes;
  readonly clock: Clock;
  readonly telemetry: Telemetry;
  /** Highest size in bytes of an answer's body that is kept for retries. */
  readonly maxBodyBytes: number;
  /** Dispatches a call to an upstream. May answer `not-run` only if the call has not run at all. */
  readonly run: Handler;
  /** Passes a call to the node that the home was handed to. */
  forward(to: NodeIdentity, ...args: Parameters<Handler>): Promise<Reply>;
  /** Has the handover task carry an effect out. */
  onHandoverEffect(effect: HandoverEffect): void;
}

const refused = (outcome: Refusal): Reply => ({ kind: 'refused', outcome });

/** Runs the call of each homed key at most once, and answers retries with the same answer. */
export class HomeTask {
  private readonly heldCalls: HeldCalls;

  constructor(private readonly context: HomeContext) {
    const { clock, run, maxBodyBytes } = context;
    this.heldCalls = new HeldCalls(clock, run, maxBodyBytes);
  }

  /** Serves a call whose key has its home here; refuses a call with another kind of key. */
  readonly serve: Handler = async (call, body, signal) => {
    const { key, workspace } = call;
    if (key.kind !== 'homed') return refused(notRunOutcome('bad-request'));
    const { clock } = this.context;
    const ref: KeyRef = { workspace, key: key.key, startBefore: key.startBefore };
    const read = await readKeyedBody(call, body, signal, clock);
    if (read.kind === 'broken') return refused(unknownOutcome('timeout'));
    const bytes = read.kind === 'whole' ? read.bytes : Buffer.alloc(0);
    const { callId, reply } = this.heldCalls.hold(call, bytes, signal, (leavingId) =>
      this.apply({ kind: 'leave', callId: leavingId }),
    );
    const { home } = key;
    if (read.kind === 'too-large') {
      this.apply({ kind: 'refuse', callId, home, ref, reason: 'body-too-large' });
    } else {
      const fingerprint = fingerprintOf(call, bytes);
      const { deadline } = call;
      this.apply({ kind: 'call', call: { callId, home, ref, fingerprint, deadline } });
    }
    return reply.then((given) => this.countRefusal(given));
  };

  /** Applies an event to the homes and carries out its effects. */
  apply(event: HomesEvent): void {
    const { homes, clock } = this.context;
    homes.apply(event, clock.now()).forEach((effect) => this.carryOut(effect));
  }

  private carryOut(effect: HomesEffect): void {
    switch (effect.kind) {
      case 'run':
        void this.run(effect);
        return;
      case 'replay':
        this.context.telemetry.count('key-replayed');
        this.heldCalls.answer(effect.callId, replyOf(effect.answer));
        return;
      case 'refuse':
        this.heldCalls.answer(effect.callId, refused(effect.outcome));
        return;
      case 'not-here':
        this.heldCalls.answer(effect.callId, refused(unknownOutcome('home-unreachable')));
        return;
      case 'forward':
        void this.forward(effect);
        return;
      case 'send':
      case 'announce':
        this.context.onHandoverEffect(effect);
    }
  }

  private async run({ callId, home, id }: Extract<HomesEffect, { kind: 'run' }>): Promise<void> {
    const settlement = await this.heldCalls.start(callId);
    this.apply({ kind: 'settle', home, id, settlement });
  }

  /** Forwards a held call to the home's heir, and answers it with the heir's reply. */
  private async forward({ callId, to }: Extract<HomesEffect, { kind: 'forward' }>): Promise<void> {
    const held = this.heldCalls.take(callId);
    if (!held) return;
    const reply = await this.forwardHeld(to, held);
    held.answer(
      reply.kind === 'refused' && reply.unsent
        ? refused(unknownOutcome('home-unreachable'))
        : reply,
    );
  }

  private forwardHeld(
    to: NodeIdentity,
    { call, bytes }: { readonly call: Call; readonly bytes: Buffer },
  ): Promise<Reply> {
    this.context.telemetry.count('key-forwarded-to-heir');
    return this.context.forward(
      to,
      call,
      toStream({ kind: 'whole', bytes }),
      new AbortController().signal,
    );
  }

  /** Counts a reply that is a refusal, and returns every reply unchanged. */
  private countRefusal(reply: Reply): Reply {
    if (reply.kind === 'answer') return reply;
    const { kind: outcome, reason } = reply.outcome;
    this.context.telemetry.count('key-refused', { role: 'home', outcome, reason });
    return reply;
  }
}
