import { guarded } from '../../adapters/guarded';
import { stopScheduleOf, type StopSchedule } from '../../core/gateway';
import type { Instant, Millis } from '../../model';

import type { GatewayContext } from '../context';
import type { GatewayReply } from '../sending/gateway-reply';

type Refusal = Extract<GatewayReply, { kind: 'refused' }>;

/** Interval in milliseconds at which a stopping gateway checks whether it is idle. */
const POLL_MS: Millis = 50;
/** Retry-After in milliseconds of a request that a stopping gateway refuses; others take it. */
const RETRY_AFTER_MS: Millis = 10;

/** The reply to a request that a stopping gateway doesn't run. */
export const STOP_REFUSAL: Refusal = {
  kind: 'refused',
  why: 'stopping',
  retryAfter: RETRY_AFTER_MS,
};

/** What a planned stop asks of the gateway. */
export interface PlannedStopPorts {
  /** Returns the number of requests in flight. */
  inFlight(): number;
  /** Returns when the last request arrived; -Infinity before the first. */
  lastRequestAt(): Instant;
}

/** The planned stop of a gateway: until it is asked for, requests are taken without limit. */
export class PlannedStop {
  private schedule: StopSchedule | undefined;

  constructor(
    private readonly context: Pick<GatewayContext, 'clock' | 'settings'>,
    private readonly ports: PlannedStopPorts,
  ) {}

  /** Whether the stop has been asked for. */
  get isAskedFor(): boolean {
    return this.schedule !== undefined;
  }

  /** Returns the reply to a request that comes too late in the stop; undefined if it is taken. */
  refusal(): Refusal | undefined {
    if (!this.schedule || this.context.clock.now() < this.schedule.refusesFrom) return undefined;
    return STOP_REFUSAL;
  }

  /** Begins the stop. `linger` is the time for which callers may use an address they got before. */
  begin(linger: Millis): void {
    const { clock, settings } = this.context;
    this.schedule = stopScheduleOf(clock.now(), linger, settings.bounds.stopGrace);
  }

  /**
   * Resolves when nothing is in flight that has been read, or it is time to close all connections.
   * To be called when requests in flight have been broken off.
   */
  async waitUntilAnswered(): Promise<void> {
    const closesAt = this.schedule?.closesAt ?? Number.NEGATIVE_INFINITY;
    do {
      await new Promise((resolve) => {
        // Immediates run after the sockets are polled.
        setImmediate(guarded('planned-stop timer', resolve));
      });
    } while (this.ports.inFlight() > 0 && this.context.clock.now() < closesAt);
  }

  /** Resolves when nothing is in flight and nothing more is expected, or the time is over. */
  async waitUntilIdle(linger: Millis): Promise<void> {
    const { schedule } = this;
    if (!schedule) return;
    for (;;) {
      const now = this.context.clock.now();
      const isQuiet = now - this.ports.lastRequestAt() > linger || now > schedule.lingersUntil;
      if ((this.ports.inFlight() === 0 && isQuiet) || now >= schedule.endsAt) return;
      await new Promise((resolve) => {
        setTimeout(guarded('planned-stop timer', resolve), POLL_MS);
      });
    }
  }
}
