import { expect } from 'earl';
import { describe, it } from 'node:test';

import { Caller, Load } from './caller';
import { startFleet, waitUntil } from './fleet';
import { withHarness } from './harness';

const CALLER_COUNT = 8;

describe('an upstream of a service without idempotent requests', () => {
  it('gets requests again after a pause that made it suspect', () =>
    withHarness(async (harness) => {
      const { nodes, upstreams } = await startFleet(harness, {
        nodes: ['takoradi', 'sekondi'],
        upstreams: ['b-1', 'b-2', 'b-3', 'b-4'].map((id) => ({
          id,
          service: 'bookings',
          latencyMs: 30,
        })),
      });
      const urls = nodes.map(({ callerUrl }) => callerUrl);
      const callers = Array.from(
        { length: CALLER_COUNT },
        (_, i) => new Caller('bookings', urls, `w${i}`),
      );
      const load = new Load(callers, (caller) =>
        caller.send('/bookings', { method: 'POST', body: '{"seat":14}' }),
      );
      const [paused] = upstreams;
      if (!paused) throw new Error('no upstream');
      await waitUntil(`${paused.id} runs requests`, async () => (await paused.runs()).total > 0);
      paused.process.freeze();
      await waitUntil(`${paused.id} is suspect`, async () =>
        nodes.some((node) =>
          node.process.lines.some(
            (line) =>
              line.includes('event=standing') &&
              line.includes(paused.id) &&
              line.includes('to=suspect'),
          ),
        ),
      );
      paused.process.thaw();
      const before = (await paused.runs()).total;
      // Requests that were in flight at the pause still run.
      await waitUntil(`${paused.id} gets new requests`, async () => {
        const { total } = await paused.runs();
        return total > before + CALLER_COUNT;
      });
      const { total, counts } = await load.stop();
      expect([...counts.keys()].every((outcome) => !outcome.startsWith('broken'))).toEqual(true);
      expect(total > 0).toEqual(true);
    }));
});
