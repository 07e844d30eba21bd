import { expect } from 'earl';
import type { AddressInfo } from 'node:net';
import { afterEach, beforeEach, describe, it } from 'node:test';

import {
  brokenCallbacks,
  detached,
  guarded,
  type BrokenCallback,
} from '../../src/adapters/guarded';
import { listen } from '../../src/adapters/listen';
import { BrokenCallbackLog } from '../../src/gateway/broken-callback-log';
import { createDirectoryServer } from '../../src/gateway/small-servers';
import { serverResources } from '../gateway/server-resources';
import { recordingTelemetry } from '../gateway/harness';

describe('a guarded callback', () => {
  const places: string[] = [];
  const onBroken = (message: unknown): number => places.push((message as BrokenCallback).place);
  beforeEach(() => brokenCallbacks.subscribe(onBroken));
  afterEach(() => {
    brokenCallbacks.unsubscribe(onBroken);
    places.length = 0;
  });

  it('that throws ends what it is for, and nothing else', () => {
    const ended: string[] = [];
    const callback = guarded(
      'place',
      (name: string) => {
        if (name === 'spoilt') throw new Error('broken');
      },
      (name) => ended.push(name),
    );
    ['sound', 'spoilt', 'sound'].forEach(callback);
    expect(ended).toEqual(['spoilt']);
    expect(places).toEqual(['place']);
  });

  it('is published also if its end throws, and a promise that is let run if it rejects', async () => {
    const fail = (): never => {
      throw new Error('broken');
    };
    guarded('place', fail, fail)();
    detached('promise', Promise.reject(new Error('broken')));
    await Promise.resolve();
    expect(places).toEqual(['place', 'place, end', 'promise']);
  });

  // Guards against a process that ends with all its requests by one that it can't answer.
  it('of a server ends the connection of its request alone', async () => {
    const codec = {
      decode: (url: string) => {
        if (url === '/spoilt') throw new Error('broken');
        return undefined;
      },
      encode: () => ({ type: 'text/plain', body: '' }),
    };
    const service = { ttlSeconds: 1, addressesFor: () => [] };
    const server = createDirectoryServer(serverResources(), codec as never, service);
    await listen(server, '127.0.0.1', 0);
    const url = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
    await expect(fetch(`${url}/spoilt`)).toBeRejected();
    expect((await fetch(`${url}/sound`)).status).toEqual(404);
    expect(places).toEqual(['small-servers request']);
    server.close();
    server.closeAllConnections();
  });

  it('is logged a bounded number of times', () => {
    const telemetry = recordingTelemetry();
    const log = new BrokenCallbackLog({ telemetry, clock: { now: () => 0, wall: () => 0 } });
    const callback = guarded('place', () => {
      throw new Error('broken');
    });
    for (let i = 0; i < 100; i++) callback();
    log.close();
    callback();
    expect(telemetry.events.length).toEqual(20);
  });
});
