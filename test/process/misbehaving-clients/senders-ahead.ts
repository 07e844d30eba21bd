/** Clients that send requests ahead on one connection and read their answers late or never. */
import { readdir, readlink } from 'node:fs/promises';
import type { Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

import { BusyGateways, writeWithoutEnd } from '../busy-gateways';

/** Offsets of the ports of a gateway from its first one. */
export const PORTS = { callers: 0, readiness: 1, directory: 2, peers: 3, metrics: 4 } as const;

export type PortName = keyof typeof PORTS;

/** How a client takes its answers; with `half-close` it ends its own direction behind a megabyte. */
export type Reading = 'never' | 'at-once' | 'slowly' | 'half-close';

/** A crowd of clients that all send the same. */
export interface Crowd {
  readonly port: PortName;
  readonly clientCount: number;
  /** Returns what a client sends again and again. */
  readonly text: (client: number) => string;
  readonly reading: Reading;
}

/** Time in milliseconds for which a crowd sends. */
const CROWD_MS = 3000;
/** Time in milliseconds after which a closed connection is opened again. */
const RECONNECT_MS = 20;
const SLOW_READ_MS = 50;
const SLOW_READ_BYTES = 1024;
const HALF_CLOSE_BYTES = 2 ** 20;
const SAMPLE_INTERVAL_MS = 50;

const readSlowly = (socket: Socket): void => {
  socket.pause();
  const timer = setInterval(() => socket.read(SLOW_READ_BYTES), SLOW_READ_MS);
  socket.once('close', () => clearInterval(timer));
};

const read = (socket: Socket, reading: Reading): void => {
  switch (reading) {
    case 'never':
    case 'half-close':
      socket.pause();
      return;
    case 'at-once':
      socket.resume();
      return;
    case 'slowly':
      readSlowly(socket);
  }
};

/** Clients that send ahead until they are stopped, and connect again when they are disconnected. */
export class SendersAhead {
  private readonly sockets = new Set<Socket>();

  private isOver = false;

  constructor(
    private readonly busy: BusyGateways,
    private readonly crowd: Crowd,
  ) {
    for (let client = 0; client < crowd.clientCount; client++) this.connect(client);
  }

  /** Disconnects all. */
  stop(): void {
    this.isOver = true;
    this.sockets.forEach((socket) => socket.destroy());
  }

  private connect(client: number): void {
    if (this.isOver) return;
    const { port, reading, text } = this.crowd;
    const socket = this.busy.connect(client, '', PORTS[port]);
    this.sockets.add(socket);
    socket.once('close', () => {
      this.sockets.delete(socket);
      setTimeout(() => this.connect(client), RECONNECT_MS);
    });
    read(socket, reading);
    const requests = text(client);
    if (reading !== 'half-close') writeWithoutEnd(socket, requests);
    else socket.end(requests.repeat(Math.ceil(HALF_CLOSE_BYTES / requests.length)));
  }
}

/** Returns the number of sockets and pipes that a process has open. */
export const socketCountOf = async (pid: number): Promise<number> => {
  const dir = `/proc/${pid}/fd`;
  const names = await readdir(dir).catch(() => []);
  const targets = await Promise.all(
    names.map((name) => readlink(`${dir}/${name}`).catch(() => '')),
  );
  return targets.filter((target) => /^(socket|pipe):/.test(target)).length;
};

/** The most that a gateway took at any time. */
export interface Peak {
  readonly rssMb: number;
  readonly socketCount: number;
}

/** Samples what the gateways take until `work` is done. */
export const peakDuring = async (busy: BusyGateways, work: () => Promise<void>): Promise<Peak> => {
  const peak = { rssMb: 0, socketCount: 0 };
  let isOver = false;
  const sampling = (async () => {
    while (!isOver) {
      peak.rssMb = Math.max(peak.rssMb, await busy.rssMb());
      const counts = await Promise.all(busy.gateways.map(({ pid }) => socketCountOf(pid)));
      peak.socketCount = Math.max(peak.socketCount, ...counts);
      await sleep(SAMPLE_INTERVAL_MS);
    }
  })();
  await work();
  isOver = true;
  await sampling;
  return peak;
};

/** Has a crowd send for its time; returns the peak of what the gateways took. */
export const playCrowd = (busy: BusyGateways, crowd: Crowd): Promise<Peak> =>
  peakDuring(busy, async () => {
    const senders = new SendersAhead(busy, crowd);
    await sleep(CROWD_MS);
    senders.stop();
  });
