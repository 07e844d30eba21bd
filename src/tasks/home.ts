/** The home of the keys that a node issues, and of those handed to it. */
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

/** Effects that another task carries out. */
export type HandoverEffect = Extract<HomesEffect, { kind: 'send' | 'announce' }>;

/** What the task works with. */
export interface HomeContext {
  readonly homes: Homes;
  readonly clock: Clock;
  readonly telemetry: Telemetry;
  /** Bytes of an answer's body that a retry may get again. */
  readonly maxBodyBytes: number;
  /** Dispatches a call to an upstream; its `not-run` must be true. */
  readonly run: Handler;
  /** Passes a call to the home's heir. */
  forward(to: NodeIdentity, ...args: Parameters<Handler>): Promise<Reply>;
  carry(effect: HandoverEffect): void;
}

const refused = (outcome: Refusal): Reply => ({ kind: 'refused', outcome });

/** Starts each homed key at most once, and answers its retries. */
export class HomeTask {
  private readonly held: HeldCalls;

  constructor(private readonly context: HomeContext) {
    const { clock, run, maxBodyBytes } = context;
    this.held = new HeldCalls(clock, run, maxBodyBytes);
  }

  /** Serves a call under a key whose home is here. */
  readonly serve: Handler = async (call, body, signal) => {
    const { key, workspace } = call;
    if (key.kind !== 'homed') return refused(notRunOutcome('bad-request'));
    const { clock } = this.context;
    const ref: KeyRef = { workspace, key: key.key, startBefore: key.startBefore };
    const read = await readKeyedBody(call, body, signal, clock);
    if (read.kind === 'broken') return refused(unknownOutcome('timeout'));
    const bytes = read.kind === 'whole' ? read.bytes : Buffer.alloc(0);
    const { callId, reply } = this.held.hold(call, bytes, signal, (left) =>
      this.apply({ kind: 'leave', callId: left }),
    );
    const { home } = key;
    if (read.kind === 'too-large') {
      this.apply({ kind: 'refuse', callId, home, ref, reason: 'body-too-large' });
    } else {
      const fingerprint = fingerprintOf(call, bytes);
      const { deadline } = call;
      this.apply({ kind: 'call', call: { callId, home, ref, fingerprint, deadline } });
    }
    return reply.then((given) => this.counted(given));
  };

  /** Tells the homes of an event. */
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
        this.held.answer(effect.callId, replyOf(effect.answer));
        return;
      case 'refuse':
        this.held.answer(effect.callId, refused(effect.outcome));
        return;
      case 'not-here':
        this.held.answer(effect.callId, refused(unknownOutcome('home-unreachable')));
        return;
      case 'forward':
        void this.forward(effect);
        return;
      case 'send':
      case 'announce':
        this.context.carry(effect);
    }
  }

  private async run({ callId, home, id }: Extract<HomesEffect, { kind: 'run' }>): Promise<void> {
    const settlement = await this.held.start(callId);
    this.apply({ kind: 'settle', home, id, settlement });
  }

  private async forward({ callId, to }: Extract<HomesEffect, { kind: 'forward' }>): Promise<void> {
    const held = this.held.take(callId);
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

  private counted(reply: Reply): Reply {
    if (reply.kind === 'answer') return reply;
    const { kind: outcome, reason } = reply.outcome;
    this.context.telemetry.count('key-refused', { role: 'home', outcome, reason });
    return reply;
  }
}
