import { expect } from 'earl';
import { describe, it } from 'node:test';

import { HeapGuard } from '../../src/gateway/memory';

import { recordingTelemetry } from './harness';
import { hostMemory } from './host-memory';

const LIMIT_BYTES = 1e6;
const HEAP = { short: { used: 90, limit: 100 }, sound: { used: 50, limit: 100 } };

describe('a heap that is nearly full', () => {
  /** Returns what gave way at a check, and the names of the lines. */
  const check = (held: number, heap: keyof typeof HEAP) => {
    const telemetry = recordingTelemetry();
    const memory = hostMemory(LIMIT_BYTES, telemetry);
    const gone: string[] = [];
    ['a', 'b'].forEach((id) =>
      memory.open({ kind: 'caller', id }, () => gone.push(id)).resize(held / 2),
    );
    const guard = new HeapGuard(memory, telemetry, () => HEAP[heap]);
    guard.check();
    guard.close();
    return { gone, lines: telemetry.events.map(({ name }) => name) };
  };

  it('has the largest holders give way, with a line', () => {
    const { gone, lines } = check(0.8 * LIMIT_BYTES, 'short');
    expect(gone).toEqual(['a', 'b']);
    expect(lines[0]).toEqual('heap-short');
  });

  it('is no concern before that', () => {
    expect(check(0.8 * LIMIT_BYTES, 'sound')).toEqual({ gone: [], lines: [] });
  });
});
