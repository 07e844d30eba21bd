import type { Millis } from '../../model';

import { MAX_LOCAL_HEALTH_SCORE } from './timing';

/**
 * Scores how likely this node itself is slow or cut off (Lifeguard's local health): 0 is healthy.
 * The score rises with its own failed probes, refutations and pauses, falls with answered probes,
 * and lengthens its timeouts.
 */
export class LocalHealth {
  score = 0;

  worsen(): void {
    this.score = Math.min(MAX_LOCAL_HEALTH_SCORE, this.score + 1);
  }

  improve(): void {
    this.score = Math.max(0, this.score - 1);
  }

  /** Returns a timeout in milliseconds multiplied by one more than the score. */
  scaleTimeout(millis: Millis): Millis {
    return millis * (1 + this.score);
  }
}
