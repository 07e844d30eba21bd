import type { Incarnation } from '../../model';

import type { MemberUpdate } from './messages';
import { maxTransmissions } from './timing';

type UpdatesByIncarnation = Map<Incarnation, MemberUpdate>;

/**
 * Queues member updates for gossip. Each update is sent a bounded number of times, and updates
 * that were sent least often go first.
 */
export class GossipQueue {
  /** Updates by the number of times that each has been sent, which is the index. */
  private readonly byTransmissions: UpdatesByIncarnation[] = [new Map()];

  private readonly transmissionsOf = new Map<Incarnation, number>();

  /** Queues an update as unsent; it replaces a queued update of the same incarnation. */
  push(update: MemberUpdate): void {
    this.remove(update.node.incarnation);
    this.put(update, 0);
  }

  /** Returns whether some update has not been sent yet. */
  hasUnsent(): boolean {
    return (this.byTransmissions[0]?.size ?? 0) > 0;
  }

  /**
   * Returns up to `most` updates for one message and counts them as sent. Drops those that have
   * now been sent as often as a fleet of `members` nodes needs.
   */
  take(most: number, members: number): readonly MemberUpdate[] {
    const taken = this.leastTransmitted(most);
    const limit = maxTransmissions(members);
    taken.forEach((update) => {
      const transmissions = this.remove(update.node.incarnation);
      if (transmissions + 1 < limit) this.put(update, transmissions + 1);
    });
    return taken;
  }

  private leastTransmitted(most: number): readonly MemberUpdate[] {
    const taken: MemberUpdate[] = [];
    for (const updates of this.byTransmissions) {
      for (const update of updates.values()) {
        if (taken.length >= most) return taken;
        taken.push(update);
      }
    }
    return taken;
  }

  private put(update: MemberUpdate, transmissions: number): void {
    while (this.byTransmissions.length <= transmissions) this.byTransmissions.push(new Map());
    this.byTransmissions[transmissions]?.set(update.node.incarnation, update);
    this.transmissionsOf.set(update.node.incarnation, transmissions);
  }

  /** Removes the update of an incarnation and returns how often it was sent; 0 without one. */
  private remove(incarnation: Incarnation): number {
    const transmissions = this.transmissionsOf.get(incarnation) ?? 0;
    this.byTransmissions[transmissions]?.delete(incarnation);
    this.transmissionsOf.delete(incarnation);
    return transmissions;
  }
}
