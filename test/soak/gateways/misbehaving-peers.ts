import net, { type Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

import {
  inPieces,
  startPlatformUpstream,
  type PlatformUpstream,
  type StoreStandIn,
} from '../../../standins/platform';
import { writeWithoutEnd } from '../../process/busy-gateways';
import { entryOf, routeOf } from '../../gateway/harness';

import { HOST_NAME } from './callers';
import { Crowd } from './crowd';
import {
  answerInPieces,
  answerWithoutEnd,
  breakStream,
  PIECE_COUNT,
  stopHalfway,
  stopWithinPieces,
  type AnswerWriter,
} from './endless-answers';
import type { GatewayHost } from './gateway-hosts';
import { REQUEST_DEADLINE_MS, type Violation } from './outcome-recorder';
import type { PeerFault, StrangerPort } from './peer-faults';
import type { PipeliningCallers } from './pipelining-callers';

/** A service of its own, so that many requests for faulty answers are at work at once. */
const SERVICE = 'loose';
const PATH = `/${SERVICE}/`;
const UPSTREAM_COUNT = 3;
const SLOT_COUNT = 128;
/** Offsets of a gateway's small ports from that for callers, and paths that they know. */
const STRANGER_PORTS: Readonly<Record<StrangerPort, readonly [number, string]>> = {
  readiness: [1, '/redwingmount/ready'],
  directory: [2, '/redwingmount/directory'],
  peers: [3, '/feeds/2'],
  metrics: [4, '/metrics'],
};
/** Numbers of connections to one gateway. */
const CROWD_SIZES = {
  pieces: 60,
  endless: 8,
  silent: 30,
  bodies: 4,
  heads: 75,
  held: 150,
  ahead: 40,
};
/** A path that no route has. */
const UNROUTED_PATH = '/none/x';
const STRANGER_COUNT = 2;
/** Time in milliseconds after its answer in which a small port must close a stranger's connection. */
const STRANGER_TIMEOUT_MS = 1000;
/** Number of requests with a long head on one connection. */
const LONG_HEAD_COUNT = 39;
const LONG_HEAD = Array.from({ length: 700 }, (_, n) => `H${n}: x${n}xxx\r\n`).join('');
/** Time in milliseconds between two streamed answers with orders behind them. */
const STREAM_GAP_MS = 250;
/** Time in milliseconds in which a calm gateway must serve what comes in pieces. */
const CALM_TIMEOUT_MS = 10_000;
const CALM_PAUSE_MS = 100;
const CHUNKED = 'Transfer-Encoding: chunked\r\n';
const BODY_END = '0\r\n\r\n';
const PIECE = '1\r\nx\r\n';

/** Upstreams, callers and strangers that play the faults of peers. */
export class MisbehavingPeers {
  static readonly route = routeOf(PATH, 'safe', { service: SERVICE, name: SERVICE });

  static readonly service = { name: SERVICE, healthPath: '/health', maxConnections: 1800 };

  private readonly upstreams: PlatformUpstream[] = [];

  /** How requests for a path are answered. */
  private readonly writers = new Map<string, AnswerWriter>();

  private readonly violations: Violation[] = [];

  private sequence = 0;

  private count = 0;

  constructor(
    private readonly port: number,
    private readonly store: StoreStandIn,
    private readonly pipelining: PipeliningCallers,
  ) {}

  async start(): Promise<void> {
    for (let i = 0; i < UPSTREAM_COUNT; i++) {
      const upstream = await startPlatformUpstream(`${SERVICE}-${i}`);
      upstream.respond = (socket, { id, head }) => {
        const write = this.writers.get(head.split(' ')[1] ?? '');
        if (write) write(socket, id);
        else answerInPieces(socket, id, 'x'.repeat(PIECE_COUNT));
      };
      this.upstreams.push(upstream);
    }
    this.register();
  }

  register(): void {
    this.sequence += 1;
    this.upstreams.forEach((upstream) => {
      const entry = entryOf(upstream, { sequence: this.sequence });
      const info = { service: SERVICE, version: 'v1', zone: 'takoradi', slots: SLOT_COUNT };
      this.store.put('keyed.servers', upstream.id, { ...entry, info });
    });
  }

  /** Plays a fault at a gateway for `durationMs`. */
  async play(
    fault: Extract<PeerFault, { gateway: number }>,
    host: GatewayHost,
    durationMs: number,
  ): Promise<void> {
    const crowd = new Crowd(this.port, host.address);
    switch (fault.kind) {
      case 'answers-in-pieces':
        crowd.open(CROWD_SIZES.pieces, this.askFor(undefined));
        break;
      case 'stopped-pieces':
        crowd.open(CROWD_SIZES.pieces, this.askFor(stopWithinPieces));
        break;
      case 'endless-answers': {
        const { form, doCallersRead } = fault;
        const ask = this.askFor(answerWithoutEnd(form), doCallersRead);
        crowd.open(doCallersRead ? CROWD_SIZES.endless : CROWD_SIZES.silent, ask);
        break;
      }
      case 'held-answers':
        crowd.open(CROWD_SIZES.held, this.askFor(stopHalfway));
        break;
      case 'bodies-in-pieces':
        crowd.open(CROWD_SIZES.pieces, (socket) => {
          socket.resume();
          socket.write(this.head('POST', PATH, `Connection: close\r\n${CHUNKED}`));
          socket.write(inPieces(Buffer.alloc(PIECE_COUNT, 'x')));
          socket.write(BODY_END);
        });
        break;
      case 'endless-bodies':
        crowd.open(CROWD_SIZES.bodies, (socket) => {
          socket.resume();
          socket.write(this.head('POST', PATH, CHUNKED));
          writeWithoutEnd(socket, PIECE);
        });
        break;
      case 'long-heads': {
        const path = this.pathOf(() => {});
        crowd.open(CROWD_SIZES.heads, (socket) => {
          socket.pause();
          for (let i = 0; i < LONG_HEAD_COUNT; i++) socket.write(this.head('GET', path, LONG_HEAD));
        });
        break;
      }
      case 'broken-stream':
        return this.breakStreams(fault.end, host, `${fault.gateway} ${host.life}`, durationMs);
      case 'requests-ahead': {
        const { port, doStrangersRead } = fault;
        const [offset, path] = port === 'callers' ? [0, UNROUTED_PATH] : STRANGER_PORTS[port];
        const strangers = new Crowd(this.port + offset, host.address);
        strangers.open(CROWD_SIZES.ahead, (socket) => {
          if (doStrangersRead) socket.resume();
          else socket.pause();
          writeWithoutEnd(socket, `GET ${path} HTTP/1.1\r\nHost: ${HOST_NAME}\r\n\r\n`);
        });
        await sleep(durationMs);
        strangers.leave();
        return undefined;
      }
      case 'strangers':
        return this.sendStrangers(fault.port, host, durationMs);
    }
    await sleep(durationMs);
    crowd.leave();
    return undefined;
  }

  /**
   * Returns what the run violated, and a violation for each calm gateway that doesn't serve what
   * comes in pieces of one byte.
   */
  async check(addresses: readonly string[]): Promise<readonly Violation[]> {
    const promise = 'what comes in pieces of one byte is served';
    const found = await Promise.all(
      addresses.flatMap((address) =>
        (['GET', 'POST'] as const).map(async (method) => {
          const deadline = Date.now() + CALM_TIMEOUT_MS;
          let text = '';
          while (Date.now() < deadline) {
            text = await this.exchange(address, method);
            const body = text.slice(text.indexOf('\r\n\r\n'));
            const isWhole = body.split('x').length - 1 === PIECE_COUNT;
            if (text.startsWith('HTTP/1.1 200') && isWhole) return [];
            await sleep(CALM_PAUSE_MS);
          }
          return [{ promise, detail: `${method} at ${address}: ${text.slice(0, 300)}` }];
        }),
      ),
    );
    return [...this.violations, ...found.flat()];
  }

  async close(): Promise<void> {
    await Promise.all(this.upstreams.map((upstream) => upstream.close()));
  }

  private head(method: string, path: string, more: string): string {
    this.count += 1;
    return `${method} ${path} HTTP/1.1\r\nHost: ${HOST_NAME}\r\nX-Redwingmount-Request-Id: loose-${this.count}\r\nX-Redwingmount-Deadline-Ms: ${REQUEST_DEADLINE_MS}\r\n${more}\r\n`;
  }

  /** Returns a new path whose requests are answered by `write`. */
  private pathOf(write: AnswerWriter | undefined): string {
    this.count += 1;
    const path = `${PATH}${this.count}`;
    if (write) this.writers.set(path, write);
    return path;
  }

  /** Returns a caller that asks for such an answer, and reads it or not. */
  private askFor(write: AnswerWriter | undefined, doesRead = true): (socket: Socket) => void {
    const path = this.pathOf(write);
    return (socket) => {
      if (doesRead) socket.resume();
      else socket.pause();
      socket.write(this.head('GET', path, 'Connection: close\r\n'));
    };
  }

  /** Has callers send orders behind answers that break off. */
  private async breakStreams(
    end: Extract<PeerFault, { kind: 'broken-stream' }>['end'],
    host: GatewayHost,
    process: string,
    durationMs: number,
  ): Promise<void> {
    const path = this.pathOf(breakStream(end));
    const until = Date.now() + durationMs;
    const bursts: Promise<void>[] = [];
    while (Date.now() < until) {
      bursts.push(this.pipelining.pass(host.address, process, path));
      await sleep(STREAM_GAP_MS);
    }
    await Promise.all(bursts);
  }

  private async sendStrangers(
    name: StrangerPort,
    host: GatewayHost,
    durationMs: number,
  ): Promise<void> {
    const [offset, path] = STRANGER_PORTS[name];
    const crowd = new Crowd(this.port + offset, host.address);
    const answeredAt = new Map<Socket, number>();
    crowd.open(STRANGER_COUNT, (socket) => {
      socket.once('data', () => answeredAt.set(socket, Date.now()));
      socket.resume();
      socket.write(`POST ${path} HTTP/1.1\r\nHost: ${host.address}\r\n${CHUNKED}\r\n`);
      writeWithoutEnd(socket, PIECE);
    });
    await sleep(durationMs);
    const latest = Date.now() - STRANGER_TIMEOUT_MS;
    const kept = [...answeredAt].filter(
      ([socket, at]) => at < latest && !socket.readableEnded && !socket.destroyed,
    );
    crowd.leave();
    this.violations.push(
      ...kept.map(() => ({
        promise: 'a small port closes a connection that sends on after its answer',
        detail: `${name} of ${host.address}`,
      })),
    );
  }

  /** Sends a request, a POST with a body in pieces; returns the text of its answer. */
  private async exchange(address: string, method: 'GET' | 'POST'): Promise<string> {
    const socket = net.connect(this.port, address);
    socket.on('error', () => {});
    let text = '';
    socket.on('data', (chunk) => {
      text += chunk.toString('latin1');
    });
    const close = 'Connection: close\r\n';
    socket.write(this.head(method, PATH, method === 'GET' ? close : `${close}${CHUNKED}`));
    if (method === 'POST') {
      socket.write(inPieces(Buffer.alloc(PIECE_COUNT, 'x')));
      socket.write(BODY_END);
    }
    const timer = setTimeout(() => socket.destroy(), REQUEST_DEADLINE_MS * 2);
    await new Promise((resolve) => {
      socket.once('close', resolve);
    });
    clearTimeout(timer);
    return text;
  }
}
