import type { Incarnation } from '../../model';

import type { MemberUpdate } from './messages';
import { passesFor } from './timing';

type Level = Map<Incarnation, MemberUpdate>;

/** News to pass on, each a bounded number of times, the least passed on first. */
export class GossipQueue {
  /** The news by how often it has been passed on. */
  private readonly levels: Level[] = [new Map()];

  private readonly levelOf = new Map<Incarnation, number>();

  /** Replaces older news of the same incarnation. */
  push(update: MemberUpdate): void {
    this.remove(update.node.incarnation);
    this.put(update, 0);
  }

  /** Whether there is news that has not been passed on at all. */
  hasFresh(): boolean {
    return (this.levels[0]?.size ?? 0) > 0;
  }

  /** Up to `most` updates for one message, in a fleet of `members`. */
  take(most: number, members: number): readonly MemberUpdate[] {
    const taken = this.least(most);
    const passes = passesFor(members);
    taken.forEach((update) => {
      const level = this.remove(update.node.incarnation);
      if (level + 1 < passes) this.put(update, level + 1);
    });
    return taken;
  }

  private least(most: number): readonly MemberUpdate[] {
    const taken: MemberUpdate[] = [];
    for (const level of this.levels) {
      for (const update of level.values()) {
        if (taken.length >= most) return taken;
        taken.push(update);
      }
    }
    return taken;
  }

  private put(update: MemberUpdate, level: number): void {
    while (this.levels.length <= level) this.levels.push(new Map());
    this.levels[level]?.set(update.node.incarnation, update);
    this.levelOf.set(update.node.incarnation, level);
  }

  /** Returns the level that the news was on; 0 when there was none. */
  private remove(incarnation: Incarnation): number {
    const level = this.levelOf.get(incarnation) ?? 0;
    this.levels[level]?.delete(incarnation);
    this.levelOf.delete(incarnation);
    return level;
  }
}
