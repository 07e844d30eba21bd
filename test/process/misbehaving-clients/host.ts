/** The host on which misbehaving clients meet a gateway: one with little memory and few descriptors. */
import { expect } from 'earl';

import { answerHead, BusyGateways, type BusyGatewayOptions, type Respond } from '../busy-gateways';

import type { Peak } from './senders-ahead';

/** Memory in MiB that the settings allow the gateway. */
export const MEMORY_MB = 160;
const HEAP_MB = 40;
/** Descriptors that the settings allow the gateway, and how many of them are for files. */
const MAX_FDS = 500;
const FILE_DESCRIPTOR_COUNT = 200;
export const MAX_SOCKET_COUNT = MAX_FDS - FILE_DESCRIPTOR_COUNT;
/** Time in milliseconds that an ordinary order allows, and its route; nothing is asserted of it. */
const ORDER_DEADLINE_MS = 20_000;

const sound: Respond = ({ id }, socket) =>
  socket.write(`${answerHead(id, 'Content-Length: 2\r\n')}ok`);

/** Starts one gateway with sound upstreams on such a host. */
export const startSmallHost = (options: BusyGatewayOptions = {}): Promise<BusyGateways> =>
  BusyGateways.start(sound, {
    gatewayCount: 1,
    heapMb: HEAP_MB,
    memoryMb: MEMORY_MB,
    maxFds: MAX_FDS,
    routeTimeoutMs: ORDER_DEADLINE_MS,
    ...options,
  });

/** Sends one ordinary order on a new connection; returns its status. */
export const sendOrder = (busy: BusyGateways, id: string): Promise<number | string> =>
  busy.order(id, ORDER_DEADLINE_MS);

/** Checks that the gateway lives, stays within its host and serves an ordinary order. */
export const expectSound = async (busy: BusyGateways, peak: Peak): Promise<void> => {
  expect(await busy.exits()).toEqual([]);
  expect(peak.rssMb).toBeLessThan(MEMORY_MB);
  expect(peak.socketCount <= MAX_SOCKET_COUNT).toEqual(true);
  expect(await sendOrder(busy, 'order-after')).toEqual(200);
};
