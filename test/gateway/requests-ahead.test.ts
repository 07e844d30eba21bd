import { expect } from 'earl';
import { afterEach, beforeEach, describe, it } from 'node:test';

import { answerOf, CallerServerScene, textOf, turns, until } from './caller-server-scene';

const HOST_MEMORY_BYTES = 350 * 2 ** 20;
const CALLER_COUNT = 12;
/** Number of requests that each caller sends at once. */
const SENT_COUNT = 1000;
/** Number of requests of a connection that are unanswered at most. */
const MAX_OPEN_COUNT = 40;

describe('requests that callers send ahead', () => {
  let scene: CallerServerScene;
  /** Requests that were parsed in each turn of the event loop. */
  let requestsByTurn: number[];
  let isCounting: boolean;
  /** The turn after which a request of another caller was served. */
  let servedTurn: number | undefined;

  beforeEach(async () => {
    scene = new CallerServerScene(HOST_MEMORY_BYTES);
    requestsByTurn = [0];
    isCounting = true;
    servedTurn = undefined;
    const count = (): void => {
      if (scene.served.includes('x')) servedTurn ??= requestsByTurn.length;
      requestsByTurn.push(0);
      if (isCounting) setImmediate(count);
    };
    setImmediate(count);
    scene.caller.server.prependListener('request', () => {
      requestsByTurn[requestsByTurn.length - 1]! += 1;
    });
    await scene.listen();
  });
  afterEach(async () => {
    isCounting = false;
    scene.close();
    // The count of turns has ended then.
    await turns(2);
  });

  const requestCount = (): number => requestsByTurn.reduce((sum, each) => sum + each, 0);

  const sendAhead = (): void => {
    for (let caller = 0; caller < CALLER_COUNT; caller++) {
      const ids = Array.from({ length: SENT_COUNT }, (_, n) => `c${caller}-${n}`);
      scene.connect(textOf(ids)).pause();
    }
  };

  /** Guards against turns that parse all that a crowd has sent, in which the heap fills up. */
  it('are parsed one in a turn, beside the first of each read, up to the limit', async () => {
    sendAhead();
    await until(() => requestCount() >= CALLER_COUNT * MAX_OPEN_COUNT);
    await turns(200);
    expect(requestCount()).toEqual(CALLER_COUNT * MAX_OPEN_COUNT);
    const beyondOne = requestsByTurn.reduce((sum, each) => sum + Math.max(0, each - 1), 0);
    expect(beyondOne <= CALLER_COUNT).toEqual(true);
  });

  /** Guards against one request that waits for all that a crowd has sent before it. */
  it('let the request of another caller be served after one of each at most', async () => {
    sendAhead();
    await until(() => requestCount() > 2 * CALLER_COUNT);
    scene.replies.set('x', answerOf('x', { kind: 'whole', bytes: Buffer.from('<x>') }));
    let readAt = 0;
    scene.caller.server.prependListener('request', ({ url }) => {
      if (url === '/x') readAt = requestsByTurn.length;
    });
    const caller = scene.connect(textOf(['x']));
    await until(() => caller.received.includes('<x>'));
    expect((servedTurn ?? Infinity) - readAt <= 2 * CALLER_COUNT).toEqual(true);
  });
});
