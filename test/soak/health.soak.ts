import { HealthSimulation } from './health-simulation';
import type { SoakScenario, SoakVerdict } from './scenario';

const MS_PER_MINUTE = 60_000;

const run = (seed: number, minutes: number): SoakVerdict => {
  const simulation = new HealthSimulation(seed);
  simulation.runWithFaults(minutes * MS_PER_MINUTE);
  const late = simulation.runUntilHealthy();
  const holds = simulation.flapperHoldDowns;
  const detail = `${simulation.ejections} ejections, hold-downs of the flapping upstream in ms: ${holds.map(Math.round).join(', ')}`;
  if (late.length > 0) return { ok: false, detail: `not healthy in time: ${late.join(', ')}` };
  const isGrowing = holds.every((hold, index) => hold >= (holds[index - 1] ?? 0));
  if (!isGrowing)
    return { ok: false, detail: `a hold-down is shorter than the one before: ${detail}` };
  return { ok: true, detail };
};

/** Health decisions of one shard under random faults, drains, event-loop lag and lost probes. */
export const healthSoak: SoakScenario = { name: 'health', ciSeeds: [1, 2, 3, 4, 5, 6], run };
