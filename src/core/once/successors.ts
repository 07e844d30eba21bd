/** Which node answers for a home's keys, as far as this node has heard. */
import {
  type Incarnation,
  type Instant,
  type Member,
  type Millis,
  type Refusal,
  unknownOutcome,
} from '../../model';

import type { SuccessorRecord } from './handover-message';

const UNREACHABLE_RETRY_AFTER: Millis = 500;

/** The homes that were handed over, by incarnation. Immutable. */
export class Successors {
  static readonly none = new Successors(new Map());

  private constructor(
    private readonly records: ReadonlyMap<
      Incarnation,
      { readonly record: SuccessorRecord; readonly until: Instant }
    >,
  ) {}

  /** After hearing `heard`, each kept until `until`; a record of more hops replaces one of fewer. */
  learn(heard: readonly SuccessorRecord[], until: Instant, now: Instant): Successors {
    const records = new Map([...this.records].filter(([, held]) => held.until > now));
    heard.forEach((record) => {
      const held = records.get(record.home);
      if (!held || held.record.hops < record.hops) records.set(record.home, { record, until });
    });
    return new Successors(records);
  }

  get(home: Incarnation): SuccessorRecord | undefined {
    return this.records.get(home)?.record;
  }

  /** What a hello tells a new peer. */
  list(): readonly SuccessorRecord[] {
    return [...this.records.values()].map(({ record }) => record);
  }
}

/** Where a homed call goes from a node that is not its home. */
export type HomeRoute =
  | { readonly kind: 'forward'; readonly to: Member }
  | { readonly kind: 'refuse'; readonly outcome: Refusal };

/** Never `not-run`: only the home can say that. `find` looks a member up by incarnation. */
export const routeHomed = (
  home: Incarnation,
  heirs: Successors,
  find: (incarnation: Incarnation) => Member | undefined,
): HomeRoute => {
  const heir = heirs.get(home)?.heir;
  const to = find(heir?.incarnation ?? home) ?? (heir && { ...heir, state: 'suspect' as const });
  if (!to)
    return { kind: 'refuse', outcome: unknownOutcome('home-unreachable', UNREACHABLE_RETRY_AFTER) };
  if (to.state === 'dead') return { kind: 'refuse', outcome: unknownOutcome('home-gone') };
  return { kind: 'forward', to };
};
