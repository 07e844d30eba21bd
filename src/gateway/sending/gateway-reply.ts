import type { Millis } from '../../model';

import type { AnswerHead } from './answer-parser';
import type { AnsweringUpstream } from '../request/relay-headers';
import type { AnswerBody } from './exchange';

/** How the gateway replies to a caller. `kind` is the field `outcome` of log lines and metrics. */
export type GatewayReply =
  /** The answer of an upstream. */
  | {
      readonly kind: 'answer';
      readonly head: AnswerHead;
      readonly body: AnswerBody;
      readonly upstream: AnsweringUpstream | undefined;
    }
  /** The gateway refuses the request, which has not run; `retryAfter` goes out as Retry-After. */
  | { readonly kind: 'refused'; readonly why: string; readonly retryAfter: Millis }
  /** The request's workspace has used up its quota; the request has not run. */
  | { readonly kind: 'over-quota'; readonly retryAfter: Millis }
  /** There is no answer, and the request has run or may have run. */
  | { readonly kind: 'lost'; readonly why: string; readonly isTimeout: boolean }
  /** The caller has closed its connection; nothing is sent. */
  | { readonly kind: 'nobody' };

/** Whether a reply promises that the request has not run and never will. */
export const hasNotRun = ({ kind }: GatewayReply): boolean =>
  kind === 'refused' || kind === 'over-quota';

/** Lets go of an answer that nobody reads; the end of its stream frees its connection. */
export const discardAnswer = (
  reply: GatewayReply | { readonly kind: 'no-route' | 'unauthorized' },
): void => {
  if (reply.kind !== 'answer') return;
  if (reply.body.kind === 'stream') reply.body.stream.destroy();
  else reply.body.holding?.close();
};
