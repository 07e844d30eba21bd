import type { Instant, Millis } from '../model';
import type { Clock } from '../ports';

import { guarded } from './guarded';

/** How long an answer may take. */
export interface ProgressLimits {
  /** When the first bytes must have arrived. */
  readonly deadline: Instant;
  /** Longest time between bytes after that. */
  readonly gap: Millis;
  /** When all of it must have arrived, however steadily it does. */
  readonly latest: Instant;
}

/**
 * Times out an answer that doesn't begin or go on in time. Bytes that have arrived but are not read
 * yet count: on a busy host timers run before the sockets are polled. Load pattern: a large page over
 * a link that is slow or shared, which arrives steadily.
 */
export class ProgressTimeout {
  private deadline: Instant;

  private timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly clock: Clock,
    private readonly limits: ProgressLimits,
    private readonly onTimeout: () => void,
  ) {
    this.deadline = limits.deadline;
    this.arm();
  }

  /** Takes in that bytes have arrived. */
  onProgress(): void {
    const { gap, latest } = this.limits;
    this.deadline = Math.min(latest, Math.max(this.deadline, this.clock.now() + gap));
  }

  clear(): void {
    clearTimeout(this.timer);
    this.timer = undefined;
  }

  private arm(): void {
    this.timer = setTimeout(
      guarded('progress-timeout timer', () => this.onTimer()),
      Math.max(1, this.deadline - this.clock.now()),
    );
  }

  private onTimer(): void {
    if (this.clock.now() < this.deadline) {
      this.arm();
      return;
    }
    setImmediate(
      guarded('progress-timeout timer', () => {
        if (this.timer === undefined) return;
        if (this.clock.now() < this.deadline) this.arm();
        else this.onTimeout();
      }),
    );
  }
}
