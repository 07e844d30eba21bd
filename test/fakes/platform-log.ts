import { Left, Right, type Either } from 'purify-ts';

import type { Instant, Millis } from '../../src/model';
import type { LogBatch, LogError, Offset, PlatformLog } from '../../src/ports';

import { StreamStore } from './stream-store';

const sleep = (millis: Millis): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, millis);
  });

/** An in-memory platform log with faults to switch on. Deadlines are on `performance.now()`. */
export class FakePlatformLog implements PlatformLog {
  /** Whether every request fails as `log-unavailable`. */
  outage = false;

  /** Number of appends to come that take effect and report `log-unsure`. */
  loseAnswers = 0;

  /** Number of appends to come that report `log-unsure` at once and take effect after `heldFor`. */
  holdAppends = 0;

  /** Time in milliseconds after which a held append takes effect. */
  heldFor: Millis = 0;

  /** Delay of each request in milliseconds. */
  delay: Millis = 0;

  private readonly streams = new Map<string, StreamStore>();

  private readonly waitingReads = new Set<() => void>();

  /** Returns the named stream, which it creates on first use. */
  stream(name: string): StreamStore {
    const stream = this.streams.get(name) ?? new StreamStore();
    this.streams.set(name, stream);
    return stream;
  }

  async append(stream: string, value: unknown): Promise<Either<LogError, Offset>> {
    await sleep(this.delay);
    if (this.outage) return Left({ kind: 'log-unavailable' });
    const copy: unknown = JSON.parse(JSON.stringify(value));
    if (this.holdAppends > 0) {
      this.holdAppends -= 1;
      setTimeout(() => this.appendAndWake(stream, copy), this.heldFor);
      return Left({ kind: 'log-unsure' });
    }
    const offset = this.appendAndWake(stream, copy);
    if (this.loseAnswers === 0) return offset;
    this.loseAnswers -= 1;
    return Left({ kind: 'log-unsure' });
  }

  async read(stream: string, from: Offset, deadline: Instant): Promise<Either<LogError, LogBatch>> {
    await sleep(this.delay);
    if (this.outage) return Left({ kind: 'log-unavailable' });
    if (from >= this.stream(stream).next) await this.waitForAppend(deadline - performance.now());
    return this.outage ? Left({ kind: 'log-unavailable' }) : this.stream(stream).read(from);
  }

  private appendAndWake(stream: string, value: unknown): Either<LogError, Offset> {
    const offset = this.stream(stream).append(value);
    this.waitingReads.forEach((wake) => wake());
    return Right(offset);
  }

  /** Resolves at the next append to any stream, or after `wait` milliseconds. */
  private waitForAppend(wait: Millis): Promise<void> {
    return new Promise((resolve) => {
      const wake = (): void => {
        this.waitingReads.delete(wake);
        resolve();
      };
      setTimeout(wake, Math.max(0, wait));
      this.waitingReads.add(wake);
    });
  }
}
