import type { EventQueue } from './events';
import { SLOT_COUNT, type Scenario } from './scenario';

/** Number of requests that a simulated upstream queues before it rejects work. */
const QUEUE_LENGTH = 24;

/** A simulated upstream: slots, a queue in order of arrival, a speed, slower when nearly full. */
export class SimulatedUpstream {
  running = 0;

  private readonly queue: (() => void)[] = [];

  /** Times at which the slots become free, as an oracle knows them. */
  private readonly slotsFreeAt: number[] = Array.from({ length: SLOT_COUNT }, () => 0);

  constructor(
    private readonly events: EventQueue,
    private readonly scenario: Scenario,
    private readonly speed: number,
  ) {}

  get waiting(): number {
    return this.queue.length;
  }

  /** Runs a request; `done` is called at its end, or at once with false if it is rejected. */
  serve(work: number, done: (ran: boolean) => void): void {
    const start = (): void => {
      this.running += 1;
      this.events.schedule(this.events.now + this.duration(work, this.running), () => {
        this.running -= 1;
        this.queue.shift()?.();
        done(true);
      });
    };
    if (this.running < SLOT_COUNT) start();
    else if (this.queue.length < QUEUE_LENGTH) this.queue.push(start);
    else done(false);
  }

  private duration(work: number, running: number): number {
    const slowdown = running / SLOT_COUNT > 0.75 ? this.scenario.fullSlowdown : 1;
    return work * this.speed * slowdown;
  }

  /** Returns when a request that arrives at `at` would end. */
  completionOf(work: number, at: number): number {
    const start = Math.max(at, Math.min(...this.slotsFreeAt));
    const running = 1 + this.slotsFreeAt.filter((freeAt) => freeAt > start).length;
    return start + this.duration(work, running);
  }

  /** Tells the oracle's view of a request that was sent here. */
  occupy(work: number, at: number): void {
    const end = this.completionOf(work, at);
    const first = this.slotsFreeAt.indexOf(Math.min(...this.slotsFreeAt));
    this.slotsFreeAt[first] = end;
  }
}
