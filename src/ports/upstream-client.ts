import type { Readable } from 'node:stream';

import type { AttemptResult, Call, Headers, Instant, Millis, Upstream } from '../model';

/** A request body: either complete in memory, or a stream that can be read once. */
export type Payload =
  | { readonly kind: 'whole'; readonly bytes: Buffer }
  | { readonly kind: 'stream'; readonly stream: Readable };

/** The result of sending a call to one upstream, as known at the answer's head. */
export type Attempt =
  | {
      readonly kind: 'answered';
      readonly status: number;
      readonly headers: Headers;
      /** Time from the start of the attempt to the answer's status and headers. */
      readonly headLatency: Millis;
      /** The stream fails if the answer is cut short or does not match its digest. */
      readonly body: Readable;
      /** The promise settles when the body has ended; it never rejects. */
      readonly ended: Promise<AttemptResult>;
    }
  | {
      readonly kind: 'failed';
      readonly result: AttemptResult;
      /**
       * `no` if no byte left this node, or if the upstream stated that it did not start the
       * request.
       */
      readonly ran: 'no' | 'maybe';
    };

/** Sends calls and probes to upstreams. */
export interface UpstreamClient {
  /**
   * Makes one attempt; cancels it at the call's deadline or when `signal` aborts. Never rejects.
   * `onConnection` is called when a connection has to be opened, and again when it is open.
   */
  attempt(
    upstream: Upstream,
    call: Call,
    payload: Payload,
    signal: AbortSignal,
    onConnection?: (state: 'connecting' | 'connected') => void,
  ): Promise<Attempt>;
  /** Sends a request to the upstream's health endpoint. Never rejects. */
  probe(upstream: Upstream, deadline: Instant): Promise<AttemptResult>;
}
