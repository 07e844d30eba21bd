import { expect } from 'earl';
import { describe, it } from 'node:test';

import { BuildReplacement } from './build-replacement';

const GATEWAY_PROGRAM = 'dist/gateway.cjs';

describe('gateway processes that are stopped and started in turn under load', () => {
  /** Guards against a planned stop that cuts off or refuses what callers still send. */
  it('serve all the while, and run nothing twice', async () => {
    const { phases, violations } = await BuildReplacement.run({
      old: GATEWAY_PROGRAM,
      new: GATEWAY_PROGRAM,
    });
    expect(violations).toEqual([]);
    expect(phases.length).toBeGreaterThan(4);
  });
});
