import type { UpstreamCapacity } from '../../src/core';

import { TICK_PERIOD_MS, AdmissionSimulation } from './admission/simulation';
import type { SoakScenario, SoakVerdict } from './scenario';

const MS_PER_MINUTE = 60_000;
const MAX_UPSTREAM_COUNT = 12;
const WORKSPACE_COUNT = 6;
/** Upper limit of the mean time between arrivals, which each seed draws. */
const MAX_MEAN_ARRIVAL_GAP_MS = 12;
/** Longest time between two changes of the upstreams, or between two withdrawals. */
const MAX_CHANGE_GAP_MS = 2000;
/** Longest time from the arrival of a call to its deadline. */
const MAX_CALL_TIMEOUT_MS = 1500;
/** Shares of its slots that an upstream may use; 0 means that it gets no work. */
const UPSTREAM_SHARES = [0, 0.1, 0.5, 1, 1, 1];

/** Returns a random number of upstreams, each with random slots and a random share. */
const drawUpstreams = (simulation: AdmissionSimulation): readonly UpstreamCapacity[] =>
  Array.from({ length: simulation.draw(0, MAX_UPSTREAM_COUNT) }, (_, index) => ({
    id: `u${index}`,
    slots: simulation.draw(1, 6),
    share: UPSTREAM_SHARES[simulation.draw(0, UPSTREAM_SHARES.length - 1)] ?? 1,
  }));

/** Runs `step` repeatedly, waiting `gap()` milliseconds before each run. */
const repeatAtGaps = (
  simulation: AdmissionSimulation,
  gap: () => number,
  step: () => void,
): void => {
  simulation.time.at(simulation.time.now + gap(), () => {
    step();
    repeatAtGaps(simulation, gap, step);
  });
};

const offerCalls = (simulation: AdmissionSimulation): void => {
  const workspace = simulation.draw(0, WORKSPACE_COUNT - 1);
  // Workspace 0 sends most of the calls, in bursts.
  const burst = workspace === 0 ? simulation.draw(1, 20) : 1;
  for (let call = 0; call < burst; call++) {
    const timeout = simulation.draw(1, MAX_CALL_TIMEOUT_MS);
    simulation.offer(`w${workspace}`, (workspace + 1) / 2, timeout, simulation.draw(0, 9) > 0);
  }
};

const run = (seed: number, minutes: number): SoakVerdict => {
  const simulation = new AdmissionSimulation(seed);
  const meanGap = simulation.draw(1, MAX_MEAN_ARRIVAL_GAP_MS);
  repeatAtGaps(
    simulation,
    () => TICK_PERIOD_MS,
    () => simulation.tick(),
  );
  repeatAtGaps(
    simulation,
    () => simulation.draw(0, MAX_CHANGE_GAP_MS),
    () => simulation.setUpstreams(drawUpstreams(simulation)),
  );
  repeatAtGaps(
    simulation,
    () => simulation.draw(0, 2 * meanGap),
    () => offerCalls(simulation),
  );
  repeatAtGaps(
    simulation,
    () => simulation.draw(1, MAX_CHANGE_GAP_MS),
    () => simulation.pendingCallIds.slice(0, 1).forEach((callId) => simulation.withdraw(callId)),
  );
  simulation.time.runUntil(minutes * MS_PER_MINUTE);
  const { offered, started, refused, withdrawn } = simulation.tally;
  const settled = started + refused + withdrawn + simulation.pendingCallIds.length;
  const figures = `offered=${offered} started=${started} refused=${refused} withdrawn=${withdrawn}`;
  return { ok: settled === offered && started > 0, detail: figures };
};

/** Admission of one shard while upstreams, shares and calls change at random. */
export const admissionSoak: SoakScenario = {
  name: 'admission',
  ciSeeds: [1, 2, 3, 4, 5, 6, 7, 8],
  run,
};
