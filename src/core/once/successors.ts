/** Finds the node that handles a home's keys, from the handovers announced to this node. */
import {
  type Incarnation,
  type Instant,
  type Member,
  type Millis,
  type Refusal,
  unknownOutcome,
} from '../../model';

import type { SuccessorRecord } from './handover-message';

/** Delay that a caller is asked to wait before a retry when the home cannot be reached. */
const RETRY_AFTER_MS: Millis = 500;

/** Latest known successors of the homes that were handed over. Immutable. */
export class Successors {
  static readonly none = new Successors(new Map());

  private constructor(
    private readonly records: ReadonlyMap<
      Incarnation,
      { readonly record: SuccessorRecord; readonly until: Instant }
    >,
  ) {}

  /**
   * Returns a copy with the announced records added, each kept until `until`, and without expired
   * ones. A record with more hops replaces one with fewer.
   */
  learn(announced: readonly SuccessorRecord[], until: Instant, now: Instant): Successors {
    const records = new Map([...this.records].filter(([, held]) => held.until > now));
    announced.forEach((record) => {
      const held = records.get(record.home);
      if (!held || held.record.hops < record.hops) records.set(record.home, { record, until });
    });
    return new Successors(records);
  }

  get(home: Incarnation): SuccessorRecord | undefined {
    return this.records.get(home)?.record;
  }

  /** Returns all records, to send to a new peer in a `hello`. */
  list(): readonly SuccessorRecord[] {
    return [...this.records.values()].map(({ record }) => record);
  }
}

/** Decision on a call at a node that does not hold its home. */
export type HomeRoute =
  | { readonly kind: 'forward'; readonly to: Member }
  | { readonly kind: 'refuse'; readonly outcome: Refusal };

/**
 * Routes a call with a homed key at a node that does not hold its home. `find` returns the member
 * of an incarnation. A refusal is never `not-run`, because only the home knows that of its keys.
 */
export const routeHomedCall = (
  home: Incarnation,
  heirs: Successors,
  find: (incarnation: Incarnation) => Member | undefined,
): HomeRoute => {
  const heir = heirs.get(home)?.heir;
  const to = find(heir?.incarnation ?? home) ?? (heir && { ...heir, state: 'suspect' as const });
  if (!to) return { kind: 'refuse', outcome: unknownOutcome('home-unreachable', RETRY_AFTER_MS) };
  if (to.state === 'dead') return { kind: 'refuse', outcome: unknownOutcome('home-gone') };
  return { kind: 'forward', to };
};
