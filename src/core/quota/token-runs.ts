import type { Instant, Millis } from '../../model';

import type { TokenRun } from './messages';

const MICROS_PER_MILLI = 1000;
/** Difference in milliseconds up to which two steps between slots count as equal. */
const STEP_TOLERANCE_MS = 1e-4;
/** Most runs in a grant, which bounds the size of its message. */
const MAX_RUN_COUNT = 6;

/** Runs that describe the first slots of a list, and how many of these they describe. */
export interface SlotRuns {
  readonly runs: readonly TokenRun[];
  readonly slotCount: number;
}

/** Returns the length of the evenly spaced run that starts at `first`. */
const runLength = (slots: readonly Instant[], first: number): number => {
  const step = (slots[first + 1] ?? 0) - (slots[first] ?? 0);
  let end = first + 1;
  while (
    end < slots.length &&
    Math.abs((slots[end] ?? 0) - (slots[end - 1] ?? 0) - step) < STEP_TOLERANCE_MS
  ) {
    end += 1;
  }
  return end - first;
};

/**
 * Describes ascending slots as runs. Times are rounded up, so that no token is used before its slot.
 */
export const slotRunsOf = (slots: readonly Instant[], now: Instant): SlotRuns => {
  const dueCount = slots.filter((slot) => slot <= now).length;
  const runs: TokenRun[] = dueCount > 0 ? [{ count: dueCount, delay: 0, stepMicros: 0 }] : [];
  let at = dueCount;
  while (at < slots.length && runs.length < MAX_RUN_COUNT) {
    const count = runLength(slots, at);
    const step = count > 1 ? (slots[at + 1] ?? 0) - (slots[at] ?? 0) : 0;
    runs.push({
      count,
      delay: Math.ceil((slots[at] ?? now) - now),
      stepMicros: Math.ceil((step + STEP_TOLERANCE_MS) * MICROS_PER_MILLI),
    });
    at += count;
  }
  return { runs, slotCount: at };
};

/** Returns the delay of each token of the runs. */
export const delaysOf = (runs: readonly TokenRun[]): readonly Millis[] =>
  runs.flatMap(({ count, delay, stepMicros }) =>
    Array.from({ length: count }, (_, i) => delay + (i * stepMicros) / MICROS_PER_MILLI),
  );
