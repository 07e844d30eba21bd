import type { AttemptOutcome } from '../../core/gateway';

import { NOT_RUN_STATUSES, UNFRAMED } from '../sending/forwarding';
import { discardAnswer, type GatewayReply } from '../sending/gateway-reply';

type UpstreamAnswer = Extract<GatewayReply, { kind: 'answer' }>;

/** Keeps the answer to pass on if no better one arrives; others are discarded. */
export class FallbackAnswer {
  /** An answer of unknown completeness, or else the first failure; undefined without any. */
  answer: UpstreamAnswer | undefined;

  /** Keeps the answer of an attempt that was not served, if it may be passed on. */
  offer(outcome: AttemptOutcome, offered: UpstreamAnswer): void {
    const isUnframed = outcome.kind === 'unknown' && outcome.why === UNFRAMED;
    const isFailure = outcome.kind === 'failed' && !NOT_RUN_STATUSES.has(offered.head.status);
    if (!isUnframed && !(isFailure && !this.answer)) {
      discardAnswer(offered);
      return;
    }
    if (this.answer) discardAnswer(this.answer);
    this.answer = offered;
  }

  /** Discards the answer unless it is the reply. */
  discardUnless(reply: GatewayReply): void {
    if (this.answer && this.answer !== reply) discardAnswer(this.answer);
  }
}
