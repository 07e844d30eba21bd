/** Calls with an idempotency key, held from the end of their request body until their answer. */
import { createHash } from 'node:crypto';
import { Readable } from 'node:stream';

import type { Fingerprint, KeptAnswer, Settlement } from '../core';
import { bodyFaultOf, unknownOutcome, type Call, type CallId } from '../model';
import type { Clock, Handler, Reply } from '../ports';

import { readUpTo, toStream } from './body';

/** Highest size in bytes of a keyed request's body, which is held until the request has run. */
const MAX_REQUEST_BODY_BYTES = 1024 * 1024;

/** Holds the complete body of a keyed request. */
export interface KeyedBody {
  readonly kind: 'whole';
  readonly bytes: Buffer;
}

/** Describes how reading a keyed request's body ended; `broken` covers the call's deadline too. */
export type BodyRead = KeyedBody | { readonly kind: 'too-large' } | { readonly kind: 'broken' };

/** Reads a body until the call's deadline or its abort. Never rejects. */
export const readKeyedBody = async (
  call: Call,
  body: Readable,
  signal: AbortSignal,
  clock: Clock,
): Promise<BodyRead> => {
  const stop = (): unknown => body.destroy();
  const timer = setTimeout(stop, Math.max(0, call.deadline - clock.now()));
  signal.addEventListener('abort', stop, { once: true });
  const payload = await readUpTo(body, MAX_REQUEST_BODY_BYTES).catch(() => undefined);
  clearTimeout(timer);
  signal.removeEventListener('abort', stop);
  if (!payload) return { kind: 'broken' };
  if (payload.kind === 'whole') return payload;
  payload.stream.destroy();
  return { kind: 'too-large' };
};

/**
 * Returns a SHA-256 digest of method, path and body in base64url. The lengths of method and path
 * are included, so that different splits of the same characters give different digests.
 */
export const fingerprintOf = (call: Call, bytes: Buffer): Fingerprint => {
  const head = `${call.method.length}:${call.method}${call.path.length}:${call.path}`;
  return createHash('sha256').update(head).update(bytes).digest('base64url');
};

/** Returns an answer kept in a ledger as a reply. */
export const replyOf = ({ status, headers, body }: KeptAnswer): Reply => ({
  kind: 'answer',
  status,
  headers,
  body: toStream({ kind: 'whole', bytes: Buffer.from(body ?? []) }),
});

/** Describes how a run ended; `unkeptReply` is the answer itself if it is too large to keep. */
interface RunResult {
  readonly settlement: Settlement;
  readonly unkeptReply?: Reply;
}

/** Reads a reply's body up to `maxKeptBytes` bytes; a body that breaks off gives `unknown`. */
const runResultOf = async (reply: Reply, maxKeptBytes: number): Promise<RunResult> => {
  if (reply.kind === 'refused') return { settlement: reply.outcome };
  const { status, headers } = reply;
  try {
    const payload = await readUpTo(reply.body, maxKeptBytes);
    const body = payload.kind === 'whole' ? payload.bytes : null;
    const settlement: Settlement = { kind: 'answer', status, headers, body };
    if (payload.kind === 'whole') return { settlement };
    return { settlement, unkeptReply: { ...reply, body: payload.stream } };
  } catch (err) {
    const fault = bodyFaultOf(err);
    return { settlement: unknownOutcome(fault === 'cancelled' ? 'upstream-lost' : fault) };
  }
};

/** Holds a call with its request body, and the function that answers it. */
interface HeldCall {
  readonly call: Call;
  readonly bytes: Buffer;
  readonly answer: (reply: Reply) => void;
}

/** Holds calls until they are answered, and runs them on request. */
export class HeldCalls {
  private readonly calls = new Map<CallId, HeldCall>();

  private holdCount = 0;

  constructor(
    private readonly clock: Clock,
    private readonly run: Handler,
    /** Highest size in bytes of an answer's body that is kept for retries. */
    private readonly maxKeptBytes: number,
  ) {}

  /**
   * Holds a call and returns its id here. Calls `onLeave` at the call's deadline or when its caller
   * disconnects, whichever is first, unless it was answered before.
   */
  hold(
    call: Call,
    bytes: Buffer,
    signal: AbortSignal,
    onLeave: (callId: CallId) => void,
  ): { readonly callId: CallId; readonly reply: Promise<Reply> } {
    this.holdCount += 1;
    const callId = `${this.holdCount}`;
    const reply = new Promise<Reply>((resolve) => {
      const leave = (): void => onLeave(callId);
      const wait = signal.aborted ? 0 : Math.max(0, call.deadline - this.clock.now());
      const timer = setTimeout(leave, wait);
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

  /** Answers a call; returns false if it is no longer held. */
  answer(callId: CallId, reply: Reply): boolean {
    const held = this.take(callId);
    held?.answer(reply);
    return held !== undefined;
  }

  /** Removes a call and returns it; the receiver has to answer it. */
  take(callId: CallId): HeldCall | undefined {
    const held = this.calls.get(callId);
    this.calls.delete(callId);
    return held;
  }

  /**
   * Runs a held call and returns how it ended. A caller that disconnects does not cancel the run,
   * since a retry may wait for its answer; only the call's deadline ends it.
   */
  async start(callId: CallId): Promise<Settlement> {
    const held = this.calls.get(callId);
    if (!held) throw new Error(`call ${callId} has to be held to run, but is not`);
    const { call, bytes } = held;
    const body = toStream({ kind: 'whole', bytes });
    const neverAborted = new AbortController().signal;
    const { settlement, unkeptReply } = await this.run(call, body, neverAborted).then(
      (reply) => runResultOf(reply, this.maxKeptBytes),
      (): RunResult => ({ settlement: unknownOutcome('upstream-lost') }),
    );
    if (unkeptReply?.kind === 'answer' && !this.answer(callId, unkeptReply))
      unkeptReply.body.destroy();
    return settlement;
  }
}
