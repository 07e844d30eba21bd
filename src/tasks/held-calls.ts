/** Calls under a key, from the end of their body to their answer. */
import { createHash } from 'node:crypto';
import { Readable } from 'node:stream';

import type { Fingerprint, KeptAnswer, Settlement } from '../core';
import { bodyFaultOf, unknownOutcome, type Call, type CallId } from '../model';
import type { Clock, Handler, Reply } from '../ports';

import { readUpTo, toStream } from './body';

/** Bytes of a keyed request's body, which is held until the request has run. */
const REQUEST_BYTES = 1024 * 1024;

/** A call whose body has been read. */
export interface KeyedBody {
  readonly kind: 'whole';
  readonly bytes: Buffer;
}

/** The body of a keyed call, as far as it can be held. */
export type BodyRead = KeyedBody | { readonly kind: 'too-large' } | { readonly kind: 'broken' };

/** Reads a body until the call's deadline. */
export const readKeyedBody = async (
  call: Call,
  body: Readable,
  signal: AbortSignal,
  clock: Clock,
): Promise<BodyRead> => {
  const stop = (): unknown => body.destroy();
  const timer = setTimeout(stop, Math.max(0, call.deadline - clock.now()));
  signal.addEventListener('abort', stop, { once: true });
  const payload = await readUpTo(body, REQUEST_BYTES).catch(() => undefined);
  clearTimeout(timer);
  signal.removeEventListener('abort', stop);
  if (!payload) return { kind: 'broken' };
  if (payload.kind === 'whole') return payload;
  payload.stream.destroy();
  return { kind: 'too-large' };
};

/** Digest of method, path and body; each part's length keeps it from running into the next. */
export const fingerprintOf = (call: Call, bytes: Buffer): Fingerprint => {
  const head = `${call.method.length}:${call.method}${call.path.length}:${call.path}`;
  return createHash('sha256').update(head).update(bytes).digest('base64url');
};

/** An answer kept in a ledger, as a reply. */
export const replyOf = ({ status, headers, body }: KeptAnswer): Reply => ({
  kind: 'answer',
  status,
  headers,
  body: toStream({ kind: 'whole', bytes: Buffer.from(body ?? []) }),
});

/** How a run ended. `live` is the answer itself where it is too large to keep. */
interface RunEnd {
  readonly settlement: Settlement;
  readonly live?: Reply;
}

const endOf = async (reply: Reply, keptBytes: number): Promise<RunEnd> => {
  if (reply.kind === 'refused') return { settlement: reply.outcome };
  const { status, headers } = reply;
  try {
    const payload = await readUpTo(reply.body, keptBytes);
    const body = payload.kind === 'whole' ? payload.bytes : null;
    const settlement: Settlement = { kind: 'answer', status, headers, body };
    if (payload.kind === 'whole') return { settlement };
    return { settlement, live: { ...reply, body: payload.stream } };
  } catch (err) {
    const fault = bodyFaultOf(err);
    return { settlement: unknownOutcome(fault === 'cancelled' ? 'upstream-lost' : fault) };
  }
};

interface HeldCall {
  readonly call: Call;
  readonly bytes: Buffer;
  readonly answer: (reply: Reply) => void;
}

/** Holds calls until they are answered, and runs them. */
export class HeldCalls {
  private readonly calls = new Map<CallId, HeldCall>();

  private taken = 0;

  constructor(
    private readonly clock: Clock,
    private readonly run: Handler,
    /** Bytes of an answer's body that are read before it is passed on. */
    private readonly keptBytes: number,
  ) {}

  /** Holds a call; `onLeave` is called at its deadline, or when its caller has gone. */
  hold(
    call: Call,
    bytes: Buffer,
    signal: AbortSignal,
    onLeave: (callId: CallId) => void,
  ): { readonly callId: CallId; readonly reply: Promise<Reply> } {
    this.taken += 1;
    const callId = `${this.taken}`;
    const reply = new Promise<Reply>((resolve) => {
      const leave = (): void => onLeave(callId);
      const timer = setTimeout(leave, Math.max(0, call.deadline - this.clock.now()));
      signal.addEventListener('abort', leave, { once: true });
      const answer = (given: Reply): void => {
        clearTimeout(timer);
        signal.removeEventListener('abort', leave);
        resolve(given);
      };
      this.calls.set(callId, { call, bytes, answer });
    });
    return { callId, reply };
  }

  /** Answers a call; false when it has been answered before. */
  answer(callId: CallId, reply: Reply): boolean {
    const held = this.take(callId);
    held?.answer(reply);
    return held !== undefined;
  }

  /** Lets go of a call that is answered elsewhere. */
  take(callId: CallId): HeldCall | undefined {
    const held = this.calls.get(callId);
    this.calls.delete(callId);
    return held;
  }

  /**
   * Runs a held call once. A caller that leaves doesn't cancel the run, since a retry may wait
   * for it; the call's deadline ends it.
   */
  async start(callId: CallId): Promise<Settlement> {
    const held = this.calls.get(callId);
    if (!held) throw new Error(`call ${callId} was to run, and is not held`);
    const { call, bytes } = held;
    const body = toStream({ kind: 'whole', bytes });
    const never = new AbortController().signal;
    const { settlement, live } = await this.run(call, body, never).then(
      (reply) => endOf(reply, this.keptBytes),
      (): RunEnd => ({ settlement: unknownOutcome('upstream-lost') }),
    );
    if (live?.kind === 'answer' && !this.answer(callId, live)) live.body.destroy();
    return settlement;
  }
}
