import { expect } from 'earl';
import { PassThrough } from 'node:stream';
import { afterEach, beforeEach, describe, it } from 'node:test';

import { CallerServerScene, HOST_MEMORY_BYTES, textOf, turns, until } from './caller-server-scene';

const IDS = ['q0', 'q1', 'q2', 'q3'];

/** How the stream of a large answer ends while an earlier request is unanswered. */
const ENDS: Readonly<Record<string, (stream: PassThrough) => void>> = {
  'reaches its deadline': (stream) => stream.destroy(new Error('timeout')),
  'is reset': (stream) => stream.destroy(new Error('reset')),
  'is closed': (stream) => stream.destroy(),
};

type Caller = ReturnType<CallerServerScene['connect']>;

const statusesOf = (received: string): readonly string[] =>
  [...received.matchAll(/HTTP\/1\.1 (\d+)/g)].map(([, status]) => status!);

/** Guards against a pipelined connection on which a reply never ends and holds all behind it. */
describe('a large answer that waits for its turn', () => {
  let scene: CallerServerScene;
  beforeEach(async () => {
    scene = new CallerServerScene();
    await scene.listen();
  });
  afterEach(() => scene.close());

  /** Starts a pipeline in which the answer to the second request is a stream, and all are at work. */
  const start = async (ids = IDS): Promise<{ stream: PassThrough; caller: Caller }> => {
    const stream = new PassThrough();
    stream.on('error', () => {});
    stream.write('begin');
    const caller = scene.connect(textOf(ids));
    await until(() => scene.served.length === ids.length);
    scene.answer('q1', { kind: 'stream', stream });
    return { stream, caller };
  };

  Object.entries(ENDS).forEach(([how, end]) =>
    it(`and ${how} meanwhile fails, and those behind it are answered`, async () => {
      const { stream, caller } = await start();
      end(stream);
      IDS.forEach((id) => scene.answer(id));
      await until(() => caller.received.includes('<q3>'));
      const status = how === 'reaches its deadline' ? '504' : '502';
      expect(statusesOf(caller.received)).toEqual(['200', status, '200', '200']);
    }),
  );

  it('and ends in order is passed on as a whole, before those behind it', async () => {
    const { stream, caller } = await start();
    stream.end('end');
    IDS.forEach((id) => scene.answer(id));
    await until(() => caller.received.includes('<q3>'));
    expect(caller.received.includes('begin')).toEqual(true);
    expect(caller.received.includes('end')).toEqual(true);
    expect(statusesOf(caller.received)).toEqual(['200', '200', '200', '200']);
  });

  Object.entries(ENDS).forEach(([how, end]) =>
    it(`and ${how} in its turn fails, and those at work behind it are answered`, async () => {
      const { stream, caller } = await start();
      scene.answer('q0');
      scene.answer('q2');
      await until(() => caller.received.includes('<q0>'));
      end(stream);
      scene.answer('q3');
      await until(() => caller.received.includes('<q3>'));
      const status = how === 'reaches its deadline' ? '504' : '502';
      expect(statusesOf(caller.received)).toEqual(['200', status, '200', '200']);
      expect(caller.received).not.toInclude('begin');
    }),
  );

  it('and breaks off in its turn ends the connection, and none behind it is served', async () => {
    const { stream, caller } = await start(['q0', 'q1']);
    let isClosed = false;
    caller.on('close', () => {
      isClosed = true;
    });
    await turns(3);
    caller.write(textOf(['q2', 'q3']));
    scene.answer('q0');
    await until(() => caller.received.includes('begin'));
    stream.destroy(new Error('reset'));
    await until(() => isClosed);
    expect(statusesOf(caller.received)).toEqual(['200', '200']);
    expect(scene.served).toEqual(['q0', 'q1']);
  });

  it('and ends in order has those served that came behind it', async () => {
    const { stream, caller } = await start(['q0', 'q1']);
    await turns(3);
    caller.write(textOf(['q2', 'q3']));
    scene.answer('q0');
    await until(() => caller.received.includes('begin'));
    expect(scene.served).toEqual(['q0', 'q1']);
    stream.end('end');
    await until(() => scene.served.length === IDS.length);
    IDS.forEach((id) => scene.answer(id));
    await until(() => caller.received.includes('<q3>'));
    expect(statusesOf(caller.received)).toEqual(['200', '200', '200', '200']);
  });

  /** Guards against a host that holds more than its memory for requests behind an answer. */
  it('and finds no memory gives way to those at work behind it', async () => {
    const { stream, caller } = await start();
    stream.end(Buffer.alloc(HOST_MEMORY_BYTES));
    IDS.forEach((id) => scene.answer(id));
    await until(() => caller.received.includes('<q3>'));
    expect(statusesOf(caller.received)).toEqual(['200', '502', '200', '200']);
    expect(caller.received).toInclude('memory-short');
    await until(() => scene.memory.total === 0);
  });

  /** Guards against a stop that cuts off requests behind an answer which it doesn't wait for. */
  it('and is broken off by a stop gives way to those at work behind it', async () => {
    const { stream, caller } = await start();
    ['q0', 'q2', 'q3'].forEach((id) => scene.answer(id));
    await until(() => caller.received.includes('<q0>'));
    scene.caller.breakOff();
    await until(() => caller.received.includes('<q3>'));
    expect(statusesOf(caller.received)).toEqual(['200', '502', '200', '200']);
    await until(() => stream.destroyed);
  });

  it('and is being written as a stop ends has those that wait behind it refused', async () => {
    const { stream, caller } = await start(['q0', 'q1']);
    scene.answer('q0');
    await until(() => caller.received.includes('begin'));
    caller.write(textOf(['q2']));
    await until(() => scene.caller.inFlight === 2);
    await turns(5);
    scene.caller.breakOff();
    stream.end('end');
    await until(() => caller.received.includes('stopping'));
    expect(statusesOf(caller.received)).toEqual(['200', '200', '503']);
    expect(scene.served).toEqual(['q0', 'q1']);
  });

  it('and whose caller leaves is discarded', async () => {
    const { stream, caller } = await start();
    caller.destroy();
    await until(() => stream.destroyed);
    expect(scene.memory.total).toEqual(0);
  });
});
