// Measures what peers that send without end, or keep bytes waiting, cost the callers beside them:
//   npm run bench:peer-bytes -- [case]
// Two gateways of 350 MB with a heap of 64 MB, fourteen callers of orders on kept connections.
import type { Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

import {
  answerHead,
  BusyGateways,
  writeWithoutEnd,
  type Respond,
} from '../test/process/busy-gateways';

const DURATION_MS = 6000;
const CHUNKED = 'Transfer-Encoding: chunked\r\n';
const PIECE = '1\r\nx\r\n';
const HELD_ANSWER_BYTES = 2_000_000;
const HELD_BYTES = Buffer.alloc(1_900_000, 'x');
/** Offsets of the ports from the first one of a gateway. */
const PORTS = { readiness: 1, directory: 2, peers: 3 };

/** A peer that misbehaves: how upstreams answer safe requests, and what callers do. */
interface Case {
  readonly respond?: Respond;
  readonly disturb?: (busy: BusyGateways, sockets: Socket[]) => void;
}

const sound: Respond = ({ id }, socket) =>
  socket.write(`${answerHead(id, 'Content-Length: 2\r\n')}ok`);

/** Returns how upstreams answer of which the first `faulty` use `respond`. */
const faultyOf =
  (faulty: number, respond: Respond): Respond =>
  (request, socket, upstream) =>
    (upstream < faulty ? respond : sound)(request, socket, upstream);

const piecesWithoutEnd: Respond = ({ id }, socket) => {
  socket.write(answerHead(id, CHUNKED));
  writeWithoutEnd(socket, PIECE);
};

/** Has callers send safe requests one after the other, each on a connection of its own. */
const readers =
  (count: number, reads = true) =>
  (busy: BusyGateways, sockets: Socket[]): void => {
    for (let i = 0; i < count; i++) {
      const open = (n: number): void => {
        const text = BusyGateways.requestHead(
          'GET',
          '/read/x',
          `read-${i}-${n}`,
          'Connection: close\r\n',
        );
        const socket = busy.connect(i, text);
        sockets.push(socket);
        if (reads) socket.resume();
        else socket.pause();
        socket.once('close', () => {
          if (sockets.includes(socket)) setTimeout(() => open(n + 1), 20);
        });
      };
      open(0);
    }
  };

/** Has strangers send a body of one-byte chunks without end to a port of each gateway. */
const strangers =
  (portOffset: number, path: string) =>
  (busy: BusyGateways, sockets: Socket[]): void => {
    for (let i = 0; i < 4; i++) {
      const open = (): void => {
        const head = `POST ${path} HTTP/1.1\r\nHost: h\r\n${CHUNKED}\r\n`;
        const socket = busy.connect(i, head, portOffset);
        sockets.push(socket);
        socket.resume();
        writeWithoutEnd(socket, PIECE);
        socket.once('close', () => {
          if (sockets.includes(socket)) setTimeout(open, 20);
        });
      };
      open();
    }
  };

/** Has strangers send requests ahead without end to a port of each gateway, and read nothing. */
const sendersAhead =
  (count: number, portOffset: number, path: string) =>
  (busy: BusyGateways, sockets: Socket[]): void => {
    for (let i = 0; i < count; i++) {
      const socket = busy.connect(i, '', portOffset);
      sockets.push(socket.pause());
      writeWithoutEnd(socket, `GET ${path} HTTP/1.1\r\nHost: shop.example\r\n\r\n`);
    }
  };

const CASES: Readonly<Record<string, Case>> = {
  none: {},
  'upstream pieces, 4 callers': { respond: faultyOf(1, piecesWithoutEnd), disturb: readers(4) },
  'upstream pieces bounded, 60 callers': {
    respond: faultyOf(3, ({ id }, socket) => {
      socket.write(answerHead(id, CHUNKED) + PIECE.repeat(20_000));
    }),
    disturb: readers(60),
  },
  'caller pieces, 4 callers': {
    disturb: (busy, sockets) => {
      for (let i = 0; i < 4; i++) {
        const socket = busy.connect(
          i,
          BusyGateways.requestHead('POST', '/read/x', `up-${i}`, CHUNKED),
        );
        sockets.push(socket);
        socket.resume();
        writeWithoutEnd(socket, PIECE);
      }
    },
  },
  'held answers, 300 callers': {
    respond: faultyOf(3, ({ id }, socket) => {
      socket.write(answerHead(id, `Content-Length: ${HELD_ANSWER_BYTES}\r\n`));
      socket.write(HELD_BYTES);
    }),
    disturb: readers(300),
  },
  'strangers at readiness': { disturb: strangers(PORTS.readiness, '/redwingmount/ready') },
  'strangers at directory': { disturb: strangers(PORTS.directory, '/redwingmount/directory') },
  'strangers at peers': { disturb: strangers(PORTS.peers, '/feeds/2') },
  'requests ahead, 40 callers': { disturb: sendersAhead(40, 0, '/none/x') },
  'requests ahead at readiness, 200 strangers': {
    disturb: sendersAhead(200, PORTS.readiness, '/redwingmount/ready'),
  },
  'requests ahead at directory, 200 strangers': {
    disturb: sendersAhead(200, PORTS.directory, '/none'),
  },
  'requests ahead at peers, 100 strangers': { disturb: sendersAhead(100, PORTS.peers, '/none') },
  'flood of three, 120 callers': {
    respond: faultyOf(3, piecesWithoutEnd),
    disturb: readers(120),
  },
  'slow callers of pieces, 60 callers': {
    respond: faultyOf(3, piecesWithoutEnd),
    disturb: readers(60, false),
  },
  'pipelined heads, 150 callers': {
    respond: faultyOf(3, () => {}),
    disturb: (busy, sockets) => {
      const more = Array.from({ length: 700 }, (_, n) => `H${n}: ${n}xxxxxx\r\n`).join('');
      for (let i = 0; i < 150; i++) {
        const heads = Array.from({ length: 39 }, (_, n) =>
          BusyGateways.requestHead(
            'GET',
            '/read/x',
            `head-${i}-${n}`,
            more.slice(0, 11_000).replace(/[^\n]*$/, ''),
          ),
        );
        sockets.push(busy.connect(i, heads.join('')));
      }
    },
  },
};

const main = async (): Promise<void> => {
  const pattern = process.argv[2] ?? '';
  for (const [name, { respond = sound, disturb }] of Object.entries(CASES)) {
    if (!name.includes(pattern)) continue;
    const busy = await BusyGateways.start(respond);
    const sockets: Socket[] = [];
    const sending = busy.sendOrders(DURATION_MS);
    await sleep(500);
    disturb?.(busy, sockets);
    const tally = await sending;
    const exits = await busy.exits();
    sockets.splice(0).forEach((socket) => socket.destroy());
    await busy.close();
    const { sent, served, lost, p50Ms, p99Ms, maxRssMb } = tally;
    console.log(
      `${name}: ${served} of ${sent} orders served, ${lost} lost, p50 ${p50Ms} ms, p99 ${p99Ms} ms, RSS ${maxRssMb} MiB, ended: ${exits.join(' ') || 'none'}`,
    );
  }
};

await main();
process.exit(0);
