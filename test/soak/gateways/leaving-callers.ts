import net from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

import type { PlatformUpstream } from '../../../standins/platform';

import { HOST_NAME } from './callers';
import type { Violation } from './outcome-recorder';

/** A prefix of routes whose requests last until their caller leaves. */
export const LASTING_PATH = '/lasting/';
/** Time-out in milliseconds of these routes; longer than any wait here. */
export const LASTING_TIMEOUT_MS = 60_000;
/** Number of requests that one caller sends ahead. */
const PIPELINED_COUNT = 6;
/** Time for which the requests of callers that have left may take to end in a calm fleet. */
const END_TIMEOUT_MS = 10_000;
const POLL_MS = 20;
/** Longest time after which a caller leaves in the middle of a run. */
const MAX_STAY_MS = 150;

/** Callers that send requests ahead on one connection and leave before they are answered. */
export class LeavingCallers {
  private count = 0;

  constructor(private readonly port: number) {}

  /** Sends requests to a gateway, and leaves after a random time. */
  async pass(gatewayIp: string): Promise<void> {
    const { socket } = this.connect(gatewayIp, '/read/');
    await sleep(MAX_STAY_MS * Math.random());
    if (Math.random() < 0.5) socket.destroy();
    else socket.resetAndDestroy();
  }

  /** Leaves lasting requests at each gateway; returns a violation for each that goes on. */
  async check(
    gatewayIps: readonly string[],
    upstreams: readonly PlatformUpstream[],
  ): Promise<readonly Violation[]> {
    const callers = gatewayIps.map((ip) => this.connect(ip, LASTING_PATH));
    const ids = callers.flatMap((caller) => caller.ids);
    const idsIn = (list: (upstream: PlatformUpstream) => readonly string[]): ReadonlySet<string> =>
      new Set(upstreams.flatMap(list));
    const running = (): ReadonlySet<string> => idsIn(({ runs }) => runs.map(({ id }) => id));
    const until = async (condition: () => boolean): Promise<void> => {
      const deadline = Date.now() + END_TIMEOUT_MS;
      while (!condition() && Date.now() < deadline) await sleep(POLL_MS);
    };
    await until(() => ids.every((id) => running().has(id)));
    callers.forEach(({ socket }, i) => {
      if (i % 2 === 0) socket.destroy();
      else socket.resetAndDestroy();
    });
    const goingOn = (): readonly string[] => {
      const cancelled = idsIn((upstream) => upstream.cancelled);
      return ids.filter((id) => running().has(id) && !cancelled.has(id));
    };
    await until(() => goingOn().length === 0);
    const promise = 'requests end when their caller leaves';
    const neverRan = ids.filter((id) => !running().has(id));
    return [
      ...goingOn().map((id) => ({ promise, detail: `${id} goes on` })),
      ...(neverRan.length === ids.length ? [{ promise, detail: 'no request ran' }] : []),
    ];
  }

  private connect(
    gatewayIp: string,
    prefix: string,
  ): { readonly socket: net.Socket; readonly ids: readonly string[] } {
    this.count += 1;
    const ids = Array.from({ length: PIPELINED_COUNT }, (_, i) => `leaving-${this.count}-${i}`);
    const text = ids.map((id) =>
      [
        `GET ${prefix}x HTTP/1.1`,
        `Host: ${HOST_NAME}`,
        `X-Redwingmount-Request-Id: ${id}`,
        `X-Redwingmount-Deadline-Ms: ${LASTING_TIMEOUT_MS}`,
        '\r\n',
      ].join('\r\n'),
    );
    const socket = net.connect(this.port, gatewayIp, () => socket.write(text.join('')));
    socket.on('error', () => {});
    socket.resume();
    return { socket, ids };
  }
}
