import { uniformInt } from 'pure-rand/distribution/uniformInt';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';

import type { Incarnation } from '../../model';

/** Returns a copy of `items` in random order. */
export const shuffled = <T>(items: readonly T[], rng: RandomGenerator): readonly T[] => {
  const result = [...items];
  for (let i = result.length - 1; i > 0; i--) {
    const j = uniformInt(rng, 0, i);
    [result[i], result[j]] = [result[j] as T, result[i] as T];
  }
  return result;
};

/** Returns up to `count` different items, chosen at random. */
export const sample = <T>(
  items: readonly T[],
  count: number,
  rng: RandomGenerator,
): readonly T[] => {
  if (items.length <= count) return items;
  const picked = new Set<T>();
  while (picked.size < count) picked.add(items[uniformInt(rng, 0, items.length - 1)] as T);
  return [...picked];
};

/** Chooses the next node to probe: each node once per round, in a new random order every round. */
export class ProbeOrder {
  private round: Incarnation[] = [];

  /** Index in `round` of the next node. */
  private position = 0;

  /** Nodes to probe before the round goes on. */
  private readonly urgent = new Set<Incarnation>();

  constructor(private readonly rng: RandomGenerator) {}

  /** Has a node probed before all others. */
  prioritize(incarnation: Incarnation): void {
    this.urgent.add(incarnation);
  }

  /** Inserts a new node at a random position in the rest of the round. */
  add(incarnation: Incarnation): void {
    this.round.splice(uniformInt(this.rng, this.position, this.round.length), 0, incarnation);
  }

  /**
   * Returns the next node that `mayProbe` allows; undefined when it allows none. `all` lists the
   * nodes for a new round.
   */
  next(
    all: () => readonly Incarnation[],
    mayProbe: (incarnation: Incarnation) => boolean,
  ): Incarnation | undefined {
    const [urgentTarget] = this.urgent;
    if (urgentTarget !== undefined) {
      this.urgent.delete(urgentTarget);
      if (mayProbe(urgentTarget)) return urgentTarget;
    }
    return this.nextInRound(mayProbe) ?? this.startRound(all, mayProbe);
  }

  private startRound(
    all: () => readonly Incarnation[],
    mayProbe: (incarnation: Incarnation) => boolean,
  ): Incarnation | undefined {
    this.round = [...shuffled(all(), this.rng)];
    this.position = 0;
    return this.nextInRound(mayProbe);
  }

  private nextInRound(mayProbe: (incarnation: Incarnation) => boolean): Incarnation | undefined {
    while (this.position < this.round.length) {
      const candidate = this.round[this.position];
      this.position += 1;
      if (candidate !== undefined && mayProbe(candidate)) return candidate;
    }
    return undefined;
  }
}
