import { expect } from 'earl';
import { once } from 'node:events';
import { Readable } from 'node:stream';
import { describe, it } from 'node:test';

import type { Handler } from '../../src/ports';
import { InFlight } from '../../src/tasks/in-flight';

type Call = Parameters<Handler>[0];

describe('the count of calls in flight', () => {
  it('drops a call whose body has closed before its reply was passed on', async () => {
    const inFlight = new InFlight();
    const body = Readable.from([]);
    body.destroy();
    await once(body, 'close');
    const handler = inFlight.track(() =>
      Promise.resolve({ kind: 'answer', status: 200, headers: [], body }),
    );
    await handler({} as Call, Readable.from([]), new AbortController().signal);
    expect(inFlight.size).toEqual(0);
    await inFlight.whenIdle();
  });
});
