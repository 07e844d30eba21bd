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

/** Number of probes of near nodes between two of far ones. */
const NEAR_PROBES_PER_FAR_COUNT = 3;
/** Number of nodes up to which near and far ones are probed alike. */
const MAX_UNIFORM_COUNT = 16;

/** A round of nodes: each once, in a new random order every time. */
class Round {
  private nodes: Incarnation[] = [];

  /** Index in `nodes` of the next node. */
  private position = 0;

  constructor(private readonly rng: RandomGenerator) {}

  /** Inserts a new node at a random position in the rest of the round. */
  add(incarnation: Incarnation): void {
    const at = uniformInt(this.rng, this.position, this.nodes.length);
    this.nodes.splice(at, 0, incarnation);
  }

  /** Returns the next node that `mayProbe` allows; starts a new round of `all` at the end. */
  next(
    all: () => readonly Incarnation[],
    mayProbe: (incarnation: Incarnation) => boolean,
  ): Incarnation | undefined {
    const rest = this.nextInRound(mayProbe);
    if (rest !== undefined) return rest;
    this.nodes = [...shuffled(all(), this.rng)];
    this.position = 0;
    return this.nextInRound(mayProbe);
  }

  private nextInRound(mayProbe: (incarnation: Incarnation) => boolean): Incarnation | undefined {
    while (this.position < this.nodes.length) {
      const candidate = this.nodes[this.position];
      this.position += 1;
      if (candidate !== undefined && mayProbe(candidate)) return candidate;
    }
    return undefined;
  }
}

/**
 * Chooses the next node to probe. In a large fleet most probes go to near nodes, those of the same
 * data centre. Load pattern: hundreds of hosts whose probes and gossip would mostly cross between
 * data centres; the far probes that remain carry the gossip from one to the other.
 */
export class ProbeOrder {
  private readonly near: Round;

  private readonly far: Round;

  /** Number of probes of near nodes since the last one of a far node. */
  private nearCount = 0;

  /** Nodes to probe before the rounds go on. */
  private readonly urgent = new Set<Incarnation>();

  constructor(
    private readonly rng: RandomGenerator,
    /** Returns the nodes of the own data centre, or of all others. */
    private readonly nodes: (near: boolean) => readonly Incarnation[],
  ) {
    this.near = new Round(rng);
    this.far = new Round(rng);
  }

  /** Has a node probed before all others. */
  prioritize(incarnation: Incarnation): void {
    this.urgent.add(incarnation);
  }

  /** Inserts a new node into its round. */
  add(incarnation: Incarnation, isNear: boolean): void {
    (isNear ? this.near : this.far).add(incarnation);
  }

  /** Returns the next node that `mayProbe` allows; undefined when it allows none. */
  next(mayProbe: (incarnation: Incarnation) => boolean): Incarnation | undefined {
    const [urgentTarget] = this.urgent;
    if (urgentTarget !== undefined) {
      this.urgent.delete(urgentTarget);
      if (mayProbe(urgentTarget)) return urgentTarget;
    }
    const isNearNext = this.isNearNext();
    this.nearCount = isNearNext ? this.nearCount + 1 : 0;
    return this.nextOf(isNearNext, mayProbe) ?? this.nextOf(!isNearNext, mayProbe);
  }

  /** Whether a near node is next: three times of four, or in a small fleet by their number. */
  private isNearNext(): boolean {
    const near = this.nodes(true).length;
    const far = this.nodes(false).length;
    if (near + far > MAX_UNIFORM_COUNT) return this.nearCount < NEAR_PROBES_PER_FAR_COUNT;
    return near + far > 0 && uniformInt(this.rng, 0, near + far - 1) < near;
  }

  private nextOf(
    isNear: boolean,
    mayProbe: (incarnation: Incarnation) => boolean,
  ): Incarnation | undefined {
    return (isNear ? this.near : this.far).next(() => this.nodes(isNear), mayProbe);
  }
}
