import { brokenCallbacks, type BrokenCallback } from '../adapters/guarded';
import type { Instant, Millis } from '../model';

import type { GatewayContext } from './context';

/** Lines that are logged in a period; a callback of each request may break. */
const MAX_LINE_COUNT = 20;
const PERIOD_MS: Millis = 10_000;

/** Logs and counts the exceptions of guarded callbacks. */
export class BrokenCallbackLog {
  private lineCount = 0;

  private periodEndsAt: Instant = Number.NEGATIVE_INFINITY;

  constructor(private readonly context: Pick<GatewayContext, 'clock' | 'telemetry'>) {
    brokenCallbacks.subscribe(this.onBroken);
  }

  close(): void {
    brokenCallbacks.unsubscribe(this.onBroken);
  }

  private readonly onBroken = (message: unknown): void => {
    const { place, error } = message as BrokenCallback;
    const { clock, telemetry } = this.context;
    telemetry.count('callbacks_broken', { place });
    const now = clock.now();
    if (now >= this.periodEndsAt) {
      this.lineCount = 0;
      this.periodEndsAt = now + PERIOD_MS;
    }
    this.lineCount += 1;
    if (this.lineCount > MAX_LINE_COUNT) return;
    telemetry.event('callback-broken', {
      place,
      error: error instanceof Error ? (error.stack ?? error.message) : String(error),
    });
  };
}
