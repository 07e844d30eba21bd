import { expect } from 'earl';
import { spawnSync } from 'node:child_process';
import type { Socket } from 'node:net';
import { PassThrough } from 'node:stream';
import { afterEach, describe, it } from 'node:test';
import { requestCostOf } from '../../src/core/memory';

import type { CallerRequest } from '../../src/gateway/request/caller-request';
import type { CallerReply } from '../../src/gateway/arriving/replies';

import {
  answerOf,
  HOST_MEMORY_BYTES,
  idsOf,
  requestText,
  CallerServerScene,
  textOf,
  turns,
  until,
} from './caller-server-scene';

/** Time in milliseconds after a caller left within which all work for it has ended. */
const MAX_OUTLIVE_MS = 500;
const HELD_BODY_BYTES = 290_000;
/** More than Node's server holds back for one connection before it stops reading. */
const LARGE_ANSWER_BYTES = 64 * 1024;
/** More requests than a server serves and keeps waiting for one connection. */
const MANY_REQUESTS = 120;
/** Numbers of requests that a server serves, and takes, for one connection. */
const MAX_SERVED_COUNT = 8;
const MAX_OPEN_COUNT = 40;

/** How a caller leaves. */
const DEPARTURES: Readonly<Record<string, (socket: Socket) => void>> = {
  'closes its connection': (socket) => socket.destroy(),
  'resets its connection': (socket) => socket.resetAndDestroy(),
};

describe('when a caller leaves', () => {
  let scene: CallerServerScene;
  const start = async (): Promise<CallerServerScene> => {
    scene = new CallerServerScene();
    await scene.listen();
    return scene;
  };
  afterEach(() => scene.close());

  Object.entries(DEPARTURES).forEach(([how, leave]) => {
    /** Guards against requests whose response emits no close, as others are before it. */
    it(`all its pipelined requests are cancelled: ${how}`, async () => {
      const { caller, cancelled, served } = await start();
      const ids = idsOf(6);
      const socket = scene.connect(textOf(ids));
      await until(() => served.length === ids.length);
      leave(socket);
      await until(() => cancelled.size === ids.length);
      await until(
        () =>
          scene.telemetry.events.filter(({ name }) => name === 'undelivered').length === ids.length,
      );
      expect(scene.longestOutliving).toBeLessThanOrEqual(MAX_OUTLIVE_MS);
      expect(caller.inFlight).toEqual(0);
    });

    /** Guards against a disconnection that is not noticed while nothing is read. */
    it(`with more requests than are read ahead, none is served later: ${how}`, async () => {
      const { caller, cancelled, served } = await start();
      const socket = scene.connect(textOf(idsOf(MANY_REQUESTS)));
      await until(() => served.length === 8);
      leave(socket);
      await until(() => cancelled.size === 8);
      await turns(4);
      expect(served.length).toEqual(8);
      expect(caller.inFlight).toEqual(0);
    });

    /** Guards against a disconnection that is not noticed behind answers that are held back. */
    it(`requests around answers that wait for their turn are cancelled: ${how}`, async () => {
      const { cancelled, replies, served } = await start();
      const bytes = Buffer.alloc(LARGE_ANSWER_BYTES, 'x');
      replies.set('ready', answerOf('ready', { kind: 'whole', bytes }));
      const socket = scene.connect(textOf(['first', 'ready']));
      await until(() => served.length === 2);
      await turns(4);
      socket.write(textOf(['third', 'fourth']));
      await until(() => served.includes('third'));
      leave(socket);
      await until(() => ['first', 'third'].every((id) => cancelled.has(id)));
      await until(() => scene.memory.total === 0);
    });

    /** Guards against a disconnection that is not noticed while a body is not read on. */
    it(`requests before a body that memory is short for are cancelled: ${how}`, async () => {
      const { cancelled, served, memory } = await start();
      for (let i = 0; i < 3; i++) {
        scene.connect(
          `${requestText('holder', [`Content-Length: ${HELD_BODY_BYTES}`])}${'b'.repeat(HELD_BODY_BYTES - 1)}`,
        );
      }
      await until(() => memory.total > HOST_MEMORY_BYTES / 8);
      const socket = scene.connect(
        `${textOf(['first'])}${requestText('body', [`Content-Length: ${HELD_BODY_BYTES}`])}${'b'.repeat(HELD_BODY_BYTES - 1)}`,
      );
      await until(() => served.includes('first'));
      await turns(20);
      leave(socket);
      await until(() => cancelled.has('first'));
      expect(scene.telemetry.events.map(({ name }) => name)).not.toInclude('caller-disconnected');
    });

    /** Guards against a disconnection that is not noticed behind a body that is refused. */
    it(`requests before a body that is too large are cancelled: ${how}`, async () => {
      const { cancelled, served } = await start();
      const socket = scene.connect(
        `${textOf(['first'])}${requestText('body', ['Content-Length: 800000'])}${'b'.repeat(700_000)}`,
      );
      await until(() => served.includes('first'));
      await turns(20);
      leave(socket);
      await until(() => cancelled.has('first'));
    });
  });

  /** Guards against a body that is dropped as its request is the last that is taken. */
  it('not, all requests that its connection takes are read whole and answered', async () => {
    const { replies, served } = await start();
    const ids = idsOf(MANY_REQUESTS);
    ids.forEach((id) =>
      replies.set(id, answerOf(id, { kind: 'whole', bytes: Buffer.from(`<${id}>`) })),
    );
    const [first = '', ...rest] = ids;
    replies.delete(first);
    const last = requestText('last', ['Content-Length: 10']);
    replies.set('last', answerOf('last', { kind: 'whole', bytes: Buffer.from('<last>') }));
    const socket = scene.connect(textOf([first, ...rest.slice(0, MAX_OPEN_COUNT - 2)]) + last);
    await until(() => served.length === MAX_SERVED_COUNT);
    await turns(4);
    socket.write('0123456789');
    socket.write(textOf(['behind']));
    await turns(20);
    scene.answer(first);
    await until(() => socket.closed);
    expect(socket.received.match(/<\w+>/g)?.at(-1)).toEqual('<last>');
    expect(served.length).toEqual(MAX_OPEN_COUNT);
    expect(served).not.toInclude('behind');
  });

  /** Guards against an upstream that goes on sending an answer whose turn never comes. */
  it('an answer that is streamed behind another one is discarded', async () => {
    const { replies, served } = await start();
    const stream = new PassThrough();
    replies.set('second', answerOf('second', { kind: 'stream', stream }));
    stream.write('begin');
    const socket = scene.connect(textOf(['first', 'second']));
    await until(() => served.length === 2);
    await turns(4);
    socket.destroy();
    await until(() => stream.destroyed);
  });

  /** Guards against an answer that nobody reads because it is ready after its caller has left. */
  it('an answer that is streamed too late is discarded', async () => {
    const { caller, served } = await start();
    const stream = new PassThrough();
    let reply: (value: CallerReply) => void = () => {};
    Object.assign(scene, {
      serve: ({ id }: CallerRequest) => {
        served.push(id);
        return new Promise<CallerReply>((resolve) => {
          reply = resolve;
        });
      },
    });
    const socket = scene.connect(textOf(['only']));
    await until(() => served.length === 1);
    socket.destroy();
    await until(() => caller.inFlight === 0);
    reply(answerOf('only', { kind: 'stream', stream }));
    await until(() => stream.destroyed);
  });

  /** Guards against bytes that stay counted, so that reading pauses for good. */
  it('the memory of its requests is released, pipelined ones included', async () => {
    const { memory, served } = await start();
    const bodies = idsOf(4).map(
      (id) => `${requestText(id, ['Content-Length: 1000'])}${'b'.repeat(1000)}`,
    );
    const socket = scene.connect(bodies.join(''));
    await until(() => served.length === 4);
    const rawHeaders = requestText('q0', ['Content-Length: 1000'])
      .split('\r\n')
      .slice(1)
      .flatMap((line) => (line === '' ? [] : line.split(': ')));
    expect(memory.total).toEqual(4 * (1000 + requestCostOf(rawHeaders)));
    socket.destroy();
    await until(() => memory.total === 0);
  });

  /**
   * Guards against a request that is sent although its caller has already left, as a busy host
   * reads both late. The caller is another process, which comes and goes while this one is blocked.
   */
  it('before its request is read, the request is not served', async () => {
    const { port, served, telemetry } = await start();
    const script = `const s = require('net').connect(${port}, '127.0.0.1', () => s.write(${JSON.stringify(textOf(['late']))}, () => s.destroy()));`;
    expect(spawnSync(process.execPath, ['-e', script]).status).toEqual(0);
    await until(() => telemetry.events.some(({ name }) => name === 'caller-left'));
    await until(() => telemetry.events.some(({ name }) => name === 'undelivered'));
    expect(served).toEqual([]);
  });
});
