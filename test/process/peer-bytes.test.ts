import { expect } from 'earl';
import type { Socket } from 'node:net';
import { afterEach, describe, it } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';

import { answerHead, BusyGateways, writeWithoutEnd, type Respond } from './busy-gateways';
import { HOST_MEMORY_MB } from './deployment';

const DURATION_MS = 4000;
const CHUNKED = 'Transfer-Encoding: chunked\r\n';
const PIECE = '1\r\nx\r\n';

/** Guards against a process that ends by the bytes of one peer, and with it all its requests. */
describe('what is held for a peer ends no gateway', () => {
  let busy: BusyGateways;
  const sockets: Socket[] = [];
  afterEach(async () => {
    sockets.splice(0).forEach((socket) => socket.destroy());
    await busy.close();
  });

  /** Sends orders beside what `disturb` does; the gateways have to live on. */
  const sendOrders = async (respond: Respond, disturb: () => void): Promise<void> => {
    busy = await BusyGateways.start(respond);
    const sending = busy.sendOrders(DURATION_MS);
    await sleep(200);
    disturb();
    const tally = await sending;
    expect(await busy.exits()).toEqual([]);
    expect(tally.maxRssMb).toBeLessThan(HOST_MEMORY_MB);
    expect(tally.lost).toEqual(0);
  };

  const connect = (caller: number, text: string): Socket => {
    const socket = busy.connect(caller, text);
    sockets.push(socket.resume());
    return socket;
  };

  const read = (callers: number): void => {
    for (let i = 0; i < callers; i++)
      connect(i, BusyGateways.requestHead('GET', '/read/x', `read-${i}`));
  };

  it('answers in chunks of one byte, which stop', () =>
    sendOrders(
      ({ id }, socket) => socket.write(answerHead(id, CHUNKED) + PIECE.repeat(20_000)),
      () => read(60),
    ));

  it('answers in chunks of one byte without end, to callers that read and that don’t', () =>
    sendOrders(
      ({ id }, socket) => {
        socket.write(answerHead(id, CHUNKED));
        writeWithoutEnd(socket, PIECE);
      },
      () => {
        read(60);
        sockets.slice(30).forEach((socket) => socket.pause());
      },
    ));

  it('bodies of callers in chunks of one byte', () =>
    sendOrders(
      () => {},
      () => {
        for (let i = 0; i < 4; i++) {
          const head = BusyGateways.requestHead('POST', '/read/x', `up-${i}`, CHUNKED);
          writeWithoutEnd(connect(i, head), PIECE);
        }
      },
    ));

  it('answers that stop before they are whole', () => {
    const bytes = Buffer.alloc(1_900_000, 'x');
    return sendOrders(
      ({ id }, socket) => {
        socket.write(answerHead(id, 'Content-Length: 2000000\r\n'));
        socket.write(bytes);
      },
      () => read(300),
    );
  });

  it('heads of requests that wait behind others of their connection', () =>
    sendOrders(
      () => {},
      () => {
        const headers = Array.from({ length: 700 }, (_, n) => `H${n}: ${n}xxxxxx\r\n`).join('');
        for (let i = 0; i < 150; i++) {
          const heads = Array.from({ length: 39 }, (_, n) =>
            BusyGateways.requestHead('GET', '/read/x', `head-${i}-${n}`, headers),
          );
          connect(i, heads.join(''));
        }
      },
    ));
});
