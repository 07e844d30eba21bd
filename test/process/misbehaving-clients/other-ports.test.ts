import { afterEach, describe, it } from 'node:test';

import { BusyGateways } from '../busy-gateways';

import { expectSound, startSmallHost } from './host';
import { playCrowd, type PortName, type Reading } from './senders-ahead';

const CLIENT_COUNT = 50;

const get = (path: string): string => `GET ${path} HTTP/1.1\r\nHost: h\r\n\r\n`;

/** The paths that clients ask for ahead, by port. */
const PATHS: readonly (readonly [PortName, string])[] = [
  ['readiness', '/redwingmount/ready'],
  ['readiness', '/none'],
  ['directory', '/redwingmount/resolve?name=shop.example&region=r&zone=takoradi'],
  ['directory', '/none'],
  ['peers', '/feeds/2?config=-1&upstreams=-1'],
  ['peers', '/none'],
  ['metrics', '/metrics'],
];
const READINGS: readonly Reading[] = ['never', 'at-once'];

/** Guards against ports on which a client may have any number of answers made for it. */
describe('requests sent ahead to the other ports end no gateway', () => {
  let busy: BusyGateways;
  afterEach(() => busy.close());

  PATHS.forEach(([port, path]) =>
    READINGS.forEach((reading) => {
      it(`${path} at the port for ${port}, answers read ${reading}`, async () => {
        busy = await startSmallHost();
        const crowd = { port, clientCount: CLIENT_COUNT, text: () => get(path), reading };
        await expectSound(busy, await playCrowd(busy, crowd));
      });
    }),
  );
});
