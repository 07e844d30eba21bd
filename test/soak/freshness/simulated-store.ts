import type { Instant } from '../../../src/model';

import type { KeyWorld } from './key-world';

/** An answer of the simulated store: the position after the last record. */
export interface StoreAnswer {
  readonly position: number;
}

/** The store: versions of the set of keys, each of which takes the place of the one before it. */
export class SimulatedStore {
  /** The keys of each version; the position after a version is its index plus one. */
  private readonly versions: ReadonlySet<string>[] = [];

  private readonly waiting = new Set<() => void>();

  /** When a key was removed for good, as the store acknowledged it. */
  readonly revokedAt = new Map<string, Instant>();

  readonly addedAt = new Map<string, Instant>();

  constructor(private readonly world: KeyWorld) {}

  get position(): number {
    return this.versions.length;
  }

  /** The keys of the newest version. */
  get keys(): ReadonlySet<string> {
    return this.versions.at(-1) ?? new Set();
  }

  keysAt(position: number): ReadonlySet<string> {
    return this.versions[position - 1] ?? new Set();
  }

  write(keys: ReadonlySet<string>): void {
    const { now } = this.world.time;
    this.keys.forEach((key) => {
      if (!keys.has(key)) this.revokedAt.set(key, now);
    });
    keys.forEach((key) => {
      if (!this.addedAt.has(key)) this.addedAt.set(key, now);
    });
    this.versions.push(keys);
    [...this.waiting].forEach((answer) => answer());
  }

  /** Answers when there is a version after `from` or the wait is over; sometimes early, in vain. */
  read(from: number, wait: number, answer: (answer: StoreAnswer) => void): void {
    let isAnswered = false;
    const reply = (): void => {
      if (isAnswered) return;
      isAnswered = true;
      this.waiting.delete(reply);
      answer({ position: this.position });
    };
    if (this.position > from) {
      reply();
      return;
    }
    this.waiting.add(reply);
    const isEarly = this.world.random() < 0.1;
    this.world.time.after(isEarly ? this.world.random() * wait : wait, reply);
  }
}
