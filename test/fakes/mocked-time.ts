import { mock } from 'node:test';

import type { Millis } from '../../src/model';

/** Lets time pass in steps of one millisecond, each with all that it sets off. */
export type Advance = (millis: Millis) => Promise<void>;

const advance: Advance = async (millis) => {
  for (let passed = 0; passed < millis; passed++) {
    mock.timers.tick(1);
    await new Promise(setImmediate);
  }
};

/** Runs a test in which timers, `Date` and `performance.now()` go on only as it lets time pass. */
export const withMockedTime = async (test: (advance: Advance) => Promise<void>): Promise<void> => {
  mock.timers.enable({ apis: ['setTimeout', 'setInterval', 'Date'] });
  const now = mock.method(performance, 'now', () => Date.now());
  await test(advance).finally(() => {
    now.mock.restore();
    mock.timers.reset();
  });
};
