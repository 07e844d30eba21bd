/** Count of the calls in flight in a node, which a planned stop waits for. */
import type { Handler } from '../ports';

/** Counts calls from their arrival until their answer's body closes. */
export class InFlight {
  private calls = 0;

  private waiters: (() => void)[] = [];

  get size(): number {
    return this.calls;
  }

  /** Returns a handler that counts the calls it passes to `handler`. */
  track(handler: Handler): Handler {
    return async (call, body, signal) => {
      this.calls += 1;
      try {
        const reply = await handler(call, body, signal);
        if (reply.kind === 'refused' || reply.body.closed) this.end();
        else reply.body.once('close', () => this.end());
        return reply;
      } catch (err) {
        this.end();
        throw err;
      }
    };
  }

  /** Resolves when no call is in flight. */
  whenIdle(): Promise<void> {
    if (this.calls === 0) return Promise.resolve();
    return new Promise((resolve) => {
      this.waiters.push(resolve);
    });
  }

  private end(): void {
    this.calls -= 1;
    if (this.calls > 0) return;
    this.waiters.forEach((resolve) => resolve());
    this.waiters = [];
  }
}
