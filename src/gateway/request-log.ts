import type { Instant, Millis } from '../model';
import type { Clock, Field, Telemetry } from '../ports';

/** Lines a second on requests that went as they should; failures are not bounded by it. */
const ROUTINE_PER_SECOND = 20;
const SECOND: Millis = 1000;

/** Writes one line a request; of those that went as they should, no more than a set rate. */
export class RequestLog {
  private secondEndsAt: Instant = 0;

  private written = 0;

  private leftOut = 0;

  constructor(
    private readonly clock: Clock,
    private readonly telemetry: Telemetry,
  ) {}

  /** A request or attempt that failed, was refused or repeated. */
  notable(name: string, fields: Readonly<Record<string, Field>>): void {
    this.telemetry.event(name, fields);
  }

  /** A request that was served at its first attempt. */
  routine(name: string, fields: Readonly<Record<string, Field>>): void {
    const now = this.clock.now();
    if (now >= this.secondEndsAt) this.startSecond(now);
    if (this.written >= ROUTINE_PER_SECOND) {
      this.leftOut += 1;
      return;
    }
    this.written += 1;
    this.telemetry.event(name, fields);
  }

  private startSecond(now: Instant): void {
    this.secondEndsAt = now + SECOND;
    this.written = 0;
    if (this.leftOut === 0) return;
    this.telemetry.event('served-left-out', { requests: this.leftOut });
    this.leftOut = 0;
  }
}
