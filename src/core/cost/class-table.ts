import type { Instant, Millis } from '../../model';

import { ClassStats } from './class-stats';

/** Number of classes on trial and of established ones that a table holds. */
export const MAX_TRIAL_CLASSES = 256;
export const MAX_ESTABLISHED_CLASSES = 512;
/** Number of costs after which a class is established. */
const ESTABLISHED_COUNT = 6;
/** Time in milliseconds without a request after which a class is dropped. */
const MAX_IDLE_MS: Millis = 1_800_000;

interface Entry {
  readonly stats: ClassStats;
  usedAt: Instant;
}

/**
 * A bounded table of classes in two parts, each of which evicts the least recently learned class.
 * Load pattern: a caller that makes up paths, each used once or a few times; its classes displace
 * each other on trial, and never the established ones of other callers.
 */
export class ClassTable {
  private readonly trial = new Map<string, Entry>();

  private readonly established = new Map<string, Entry>();

  get size(): number {
    return this.trial.size + this.established.size;
  }

  get(key: string): ClassStats | undefined {
    return (this.established.get(key) ?? this.trial.get(key))?.stats;
  }

  /** Returns the class to learn a cost, created if it is new; it becomes the most recent one. */
  touch(key: string, now: Instant): ClassStats {
    const known = this.established.get(key);
    if (known) return ClassTable.renew(this.established, key, known, now);
    const entry = this.trial.get(key) ?? { stats: new ClassStats(), usedAt: now };
    if (entry.stats.count < ESTABLISHED_COUNT) {
      ClassTable.renew(this.trial, key, entry, now);
      ClassTable.evict(this.trial, MAX_TRIAL_CLASSES, now);
      return entry.stats;
    }
    this.trial.delete(key);
    ClassTable.renew(this.established, key, entry, now);
    ClassTable.evict(this.established, MAX_ESTABLISHED_CLASSES, now);
    return entry.stats;
  }

  private static renew(
    part: Map<string, Entry>,
    key: string,
    entry: Entry,
    now: Instant,
  ): ClassStats {
    part.delete(key);
    part.set(key, entry);
    Object.assign(entry, { usedAt: now });
    return entry.stats;
  }

  /** Evicts the oldest class if the part is too large or that class is idle for too long. */
  private static evict(part: Map<string, Entry>, maxSize: number, now: Instant): void {
    const [oldest] = part;
    if (!oldest) return;
    const [key, { usedAt }] = oldest;
    if (part.size > maxSize || now - usedAt > MAX_IDLE_MS) part.delete(key);
  }
}
