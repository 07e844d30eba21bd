/** The result of running one seed of a scenario. */
export interface SoakVerdict {
  readonly ok: boolean;
  /** The violated invariant if `ok` is false, otherwise counts from the run. */
  readonly detail: string;
}

/** A randomised simulation in virtual time that asserts invariants as it runs. */
export interface SoakScenario {
  readonly name: string;
  /** Seeds that the tests run. */
  readonly ciSeeds: readonly number[];
  /**
   * Simulates `minutes` minutes of virtual time. If an invariant is violated, throws or returns
   * a verdict with `ok` false.
   */
  run(seed: number, minutes: number): SoakVerdict;
}
