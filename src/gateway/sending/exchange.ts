import type { Readable } from 'node:stream';

import type { Peer } from '../../core/memory';
import type { Instant, Millis } from '../../model';

import type { Holding } from '../memory';
import type { AnswerHead } from './answer-parser';

/** The body of an answer: complete in memory, where `holding` counts it, or a stream if it is large. */
export type AnswerBody =
  | { readonly kind: 'whole'; readonly bytes: Buffer; readonly holding?: Holding }
  | { readonly kind: 'stream'; readonly stream: Readable };

/** Reason for which an exchange failed. */
export type ExchangeFault =
  | 'connect-failed'
  | 'connect-timeout'
  | 'reset'
  | 'truncated'
  | 'malformed'
  | 'timeout'
  | 'cancelled'
  /** The upstream has announced that it wants no request while this one waited to be sent. */
  | 'held-back'
  /** The host had no memory for the answer. */
  | 'memory-short'
  /** The same, and the upstream held more than its share of the memory. */
  | 'held-too-much';

/** Result of an exchange. */
export type ExchangeResult =
  | {
      readonly kind: 'answered';
      readonly head: AnswerHead;
      readonly body: AnswerBody;
      /** Whether the connection was new, so that no earlier request can have been answered on it. */
      readonly isFirst: boolean;
    }
  | {
      readonly kind: 'failed';
      readonly why: ExchangeFault;
      /** Whether bytes of the request may have reached the upstream. */
      readonly sent: boolean;
      /** Time in milliseconds for which the connection had been idle; 0 if it was new. */
      readonly idleFor: Millis;
    };

/** A request to an upstream. */
export interface Exchange {
  readonly requestId: string | undefined;
  readonly method: string;
  /** Encodes head and body; called once connected, as the head states the time that remains. */
  readonly bytes: () => Buffer;
  /** Whether the request may still be sent; asked once connected. */
  readonly maySend: () => boolean;
  /** When the exchange fails with `timeout`. */
  readonly deadline: Instant;
  readonly signal: AbortSignal;
  /** The caller whom the answer is for. */
  readonly caller: Peer;
  /** Aborted when the caller's request is over, so that nothing is held for it any more. */
  readonly requestEnded: AbortSignal;
}
