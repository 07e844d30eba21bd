/**
 * Real gateways under a steady load of orders, beside which a test or bench has some peer misbehave:
 * two upstream services on loopback, and callers that send orders on kept connections.
 */
import { mkdtemp, readFile, rm, writeFile } from 'node:fs/promises';
import http from 'node:http';
import net, { type Socket } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';

import { startStore, type StoreStandIn } from '../../standins/platform';
import { closeServer } from '../../standins/server';
import { configOf, routeOf, settingsText } from '../gateway/harness';
import { reservePorts } from '../ports';

import { deployedNodeFlags, HOST_MEMORY_MB } from './deployment';
import { ManagedProcess } from './managed-process';

const GATEWAY_PROGRAM = 'dist/gateway.cjs';
const HOST = 'shop.example';
const ADDRESSES = ['127.0.0.1', '127.0.0.2'];
const UPSTREAM_COUNT = 3;
const SLOT_COUNT = 64;
const CALLER_COUNT = 14;
const ORDER_WORK_MS = 20;
const ORDER_PAUSE_MS = 20;
const ORDER_DEADLINE_MS = 4000;
const ORDER_BODY = 'order';
const SAMPLE_INTERVAL_MS = 100;
const HEAD_END = '\r\n\r\n';
const REQUEST_ID = /^x-redwingmount-request-id: *(.*)$/im;
const CONTENT_LENGTH = /^content-length: *(\d+)$/im;

/** A request as an upstream got it. */
export interface RawRequest {
  readonly id: string;
  readonly path: string;
}

/** Returns the head of a sound answer to a request; `more` are header lines with their ends. */
export const answerHead = (id: string, more: string): string =>
  `HTTP/1.1 200 OK\r\nX-Redwingmount-Request-Id: ${id}\r\nX-Redwingmount-Response-Signature: s\r\n${more}\r\n`;

/** Writes `text` again and again until the connection closes, no faster than it is taken. */
export const writeWithoutEnd = (socket: Socket, text: string): void => {
  const block = Buffer.from(text.repeat(Math.ceil((16 * 1024) / text.length)), 'latin1');
  const write = (): void => {
    if (socket.destroyed) return;
    if (socket.write(block)) setImmediate(write);
    else socket.once('drain', write);
  };
  write();
};

/** Starts an upstream that has `respond` write the answer to each request. */
const startUpstream = async (
  respond: (request: RawRequest, socket: Socket) => void,
): Promise<{ port: number; server: net.Server; sockets: Set<Socket> }> => {
  const sockets = new Set<Socket>();
  const server = net.createServer((socket) => {
    sockets.add(socket);
    let text = '';
    socket.on('error', () => {});
    socket.on('close', () => sockets.delete(socket));
    socket.on('data', (chunk) => {
      text += chunk.toString('latin1');
      for (;;) {
        const headEnd = text.indexOf(HEAD_END);
        if (headEnd < 0) return;
        const head = text.slice(0, headEnd);
        const end = headEnd + HEAD_END.length + Number(CONTENT_LENGTH.exec(head)?.[1] ?? 0);
        if (text.length < end) return;
        text = text.slice(end);
        const id = REQUEST_ID.exec(head)?.[1]?.trim() ?? '';
        respond({ id, path: head.split(' ')[1] ?? '' }, socket);
      }
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return { port: (server.address() as net.AddressInfo).port, server, sockets };
};

/** What became of the orders, and the most memory that a gateway took meanwhile. */
export interface OrderTally {
  readonly sent: number;
  readonly served: number;
  /** Orders that were sent on a kept connection, and whose connection ended without an answer. */
  readonly lost: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly maxRssMb: number;
}

/** How the upstreams of the safe service answer; number 0 is the faulty one of most cases. */
export type Respond = (request: RawRequest, socket: Socket, upstream: number) => void;

/** Limits of the gateways, and times; the defaults are those of the deployments. */
export interface BusyGatewayOptions {
  readonly gatewayCount?: number;
  /** Limit of the heap in MiB; by default that of the run line. */
  readonly heapMb?: number;
  /** Memory in MiB that the settings allow the process. */
  readonly memoryMb?: number;
  /** Number of descriptors that the settings allow the process; not stated by default. */
  readonly maxFds?: number;
  readonly routeTimeoutMs?: number;
  /** Time in milliseconds that an order takes at its upstream. */
  readonly orderWorkMs?: number;
}

const ROUTE_TIMEOUT_MS = 3000;

const nodeFlags = (heapMb: number | undefined): readonly string[] =>
  heapMb === undefined
    ? deployedNodeFlags()
    : deployedNodeFlags().map((flag) => flag.replace(/(old-space-size)=.*/, `$1=${heapMb}`));

/** Gateways with three upstreams of each of two services; by default two gateways of 350 MB. */
export class BusyGateways {
  private constructor(
    private readonly dir: string,
    private readonly store: StoreStandIn,
    readonly gateways: readonly ManagedProcess[],
    readonly ports: number,
    private readonly upstreams: readonly { server: net.Server; sockets: Set<Socket> }[],
  ) {}

  /** Starts all; the path `/read/` is safe and goes to `respond`, `/orders/` is unsafe and sound. */
  static async start(respond: Respond, options: BusyGatewayOptions = {}): Promise<BusyGateways> {
    const {
      memoryMb = HOST_MEMORY_MB,
      maxFds,
      routeTimeoutMs: timeoutMs = ROUTE_TIMEOUT_MS,
    } = options;
    const addresses = ADDRESSES.slice(0, options.gatewayCount);
    const dir = await mkdtemp(join(tmpdir(), 'redwingmount-busy-'));
    const store = await startStore();
    const ports = await reservePorts(5);
    const services = [
      ...Array.from({ length: UPSTREAM_COUNT }, (_, i) => ({
        id: `read-${i}`,
        service: 'read',
        respond: (req: RawRequest, socket: Socket) => respond(req, socket, i),
      })),
      ...Array.from({ length: UPSTREAM_COUNT }, (_, i) => ({
        id: `orders-${i}`,
        service: 'orders',
        respond: ({ id }: RawRequest, socket: Socket): void => {
          setTimeout(() => {
            socket.write(`${answerHead(id, 'Content-Length: 2\r\n')}ok`);
          }, options.orderWorkMs ?? ORDER_WORK_MS);
        },
      })),
    ];
    const config = configOf(1, [
      routeOf('/read/', 'safe', { service: 'read', timeoutMs }),
      routeOf('/orders/', 'unsafe', { service: 'orders', timeoutMs }),
    ]) as { services: object[]; limits: object };
    config.services = ['read', 'orders'].map((name) => ({
      name,
      healthPath: '/health',
      maxConnections: 1800,
    }));
    config.limits = { ...config.limits, maxBodyBytes: 64 * 2 ** 20 };
    store.put('keyed.op', 'config', config);
    const upstreams = [];
    for (const each of services) {
      const upstream = await startUpstream(each.respond);
      upstreams.push(upstream);
      store.put('keyed.servers', each.id, {
        address: `127.0.0.1:${upstream.port}`,
        info: { service: each.service, version: 'v1', zone: 'takoradi', slots: SLOT_COUNT },
        status: { state: 'ready', sequence: 1, warmupLeftMs: 0 },
        born: 1,
      });
    }
    const gateways: ManagedProcess[] = [];
    for (const address of addresses) {
      const file = join(dir, `${address}.toml`);
      const seeds = addresses.map((seed) => `${seed}:${ports}`);
      const text = settingsText(ports, store.port, seeds)
        .replaceAll('"127.0.0.1:', `"${address}:`)
        .replace('ip = "127.0.0.1"', `ip = "${address}"`)
        .replace('"edge-1"', `"edge-${gateways.length + 1}"`)
        .replace(/seeds = .*/, `seeds = ${JSON.stringify(seeds)}`)
        .replace(`"${address}:${store.port}"`, `"127.0.0.1:${store.port}"`);
      const limits = [`memoryMb = ${memoryMb}`, ...(maxFds ? [`maxFds = ${maxFds}`] : [])];
      await writeFile(file, `${text}\n[limits]\n${limits.join('\n')}\n`);
      const env = { REDWINGMOUNT_NODE_FILE: file };
      gateways.push(
        new ManagedProcess(address, [...nodeFlags(options.heapMb), GATEWAY_PROGRAM], env),
      );
    }
    await Promise.all(gateways.map((gateway) => gateway.waitForLine(/"event":"ready"/)));
    return new BusyGateways(dir, store, gateways, ports, upstreams);
  }

  /** Number of gateways whose process has ended, by `exits` of the lines of each. */
  async exits(): Promise<readonly string[]> {
    const running = Symbol('running');
    const ends = await Promise.all(
      this.gateways.map(({ exited }) => Promise.race([exited, sleep(0, running)])),
    );
    return ends.flatMap((end) =>
      typeof end === 'symbol' ? [] : [String(end.signal ?? end.code ?? '')],
    );
  }

  /** Opens a raw connection to a gateway and writes `text`; errors are ignored. */
  connect(gateway: number, text: string, portOffset = 0): Socket {
    const socket = net.connect(this.ports + portOffset, ADDRESSES[gateway % this.gateways.length]);
    socket.on('error', () => {});
    socket.write(text);
    return socket;
  }

  /** Returns the head of a caller's request. */
  static requestHead(
    method: string,
    path: string,
    id: string,
    more = '',
    deadlineMs = 4000,
  ): string {
    return `${method} ${path} HTTP/1.1\r\nHost: ${HOST}\r\nX-Redwingmount-Request-Id: ${id}\r\nX-Redwingmount-Deadline-Ms: ${deadlineMs}\r\n${more}\r\n`;
  }

  /** Sends one order on a connection of its own; returns its status, or how its connection failed. */
  order(id: string, deadlineMs: number): Promise<number | string> {
    return new Promise((resolve) => {
      const req = http.request(this.orderOptions(0, id, deadlineMs));
      req.on('response', (res) => {
        res.resume();
        res.on('end', () => resolve(res.statusCode ?? 0));
        res.on('error', (err) => resolve(err.message));
      });
      req.on('error', (err) => resolve(err.message));
      req.end(ORDER_BODY);
    });
  }

  private orderOptions(caller: number, id: string, deadlineMs: number): http.RequestOptions {
    return {
      agent: false,
      host: ADDRESSES[caller % this.gateways.length],
      port: this.ports,
      method: 'POST',
      path: '/orders/print',
      headers: {
        host: HOST,
        'x-redwingmount-request-id': id,
        'x-redwingmount-deadline-ms': String(deadlineMs),
        'content-length': String(ORDER_BODY.length),
      },
    };
  }

  /** Sends orders for some time. */
  async sendOrders(durationMs: number): Promise<OrderTally> {
    const endsAt = Date.now() + durationMs;
    const times: number[] = [];
    const tally = { sent: 0, served: 0, lost: 0 };
    let maxRssMb = 0;
    const sampling = (async () => {
      while (Date.now() < endsAt) {
        maxRssMb = Math.max(maxRssMb, await this.rssMb());
        await sleep(SAMPLE_INTERVAL_MS);
      }
    })();
    const callers = Array.from({ length: CALLER_COUNT }, async (_, caller) => {
      const agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
      for (let n = 0; Date.now() < endsAt; n++) {
        tally.sent += 1;
        const sentAt = performance.now();
        const end = await this.sendOrder(agent, caller, `order-${caller}-${n}-${endsAt}`);
        if (end === 'served') {
          tally.served += 1;
          times.push(performance.now() - sentAt);
        } else if (end === 'lost') tally.lost += 1;
        await sleep(ORDER_PAUSE_MS);
      }
      agent.destroy();
    });
    await Promise.all([...callers, sampling]);
    times.sort((a, b) => a - b);
    const at = (ratio: number): number => Math.round(times[Math.floor(ratio * times.length)] ?? -1);
    return { ...tally, p50Ms: at(0.5), p99Ms: at(0.99), maxRssMb: Math.round(maxRssMb) };
  }

  private sendOrder(
    agent: http.Agent,
    caller: number,
    id: string,
  ): Promise<'served' | 'refused' | 'lost' | 'not-sent'> {
    return new Promise((resolve) => {
      const req = http.request({ ...this.orderOptions(caller, id, ORDER_DEADLINE_MS), agent });
      req.on('response', (res) => {
        res.resume();
        res.on('end', () => resolve(res.statusCode === 200 ? 'served' : 'refused'));
        res.on('error', () => resolve('lost'));
      });
      req.on('error', () => resolve(req.reusedSocket ? 'lost' : 'not-sent'));
      req.end(ORDER_BODY);
    });
  }

  /** Returns the resident memory in MiB of the gateway that takes most. */
  async rssMb(): Promise<number> {
    const sizes = await Promise.all(
      this.gateways.map(async ({ pid }) => {
        const text = await readFile(`/proc/${pid}/status`, 'utf8').catch(() => '');
        return Number(/^VmRSS:\s+(\d+) kB/m.exec(text)?.[1] ?? 0) / 1024;
      }),
    );
    return Math.max(...sizes);
  }

  async close(): Promise<void> {
    await Promise.all(this.gateways.map((gateway) => gateway.kill()));
    this.upstreams.forEach(({ sockets }) => sockets.forEach((socket) => socket.destroy()));
    await Promise.all([
      this.store.close(),
      ...this.upstreams.map(({ server }) => closeServer(server)),
    ]);
    await rm(this.dir, { recursive: true });
  }
}
