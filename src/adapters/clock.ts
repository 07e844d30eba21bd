/** The clocks of this process: monotonic and wall-clock time, both in milliseconds. */
import { performance } from 'node:perf_hooks';

import type { Clock } from '../ports';

export const systemClock: Clock = {
  now: () => performance.now(),
  wall: () => Date.now(),
};
