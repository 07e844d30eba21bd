import type { Server } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';

import { createPeerLink, createPeerServer, type PeerContext } from '../../src/adapters';
import type { Handler, Telemetry } from '../../src/ports';

import { memoryUsed, range, type Slope } from './measure';
import { memberAt } from './samples';

const LINK_COUNTS = [100, 200, 400];
/** Time to wait after the links open, and after they close, until all connections are done. */
const SETTLE_MS = 2500;
const IDLE_WINDOW_MS = 10_000;

const silentTelemetry: Telemetry = {
  event: () => {},
  count: () => {},
  latency: () => {},
  gauge: () => {},
};

const contextOf = (index: number): PeerContext => ({
  self: memberAt(index),
  clock: { now: () => performance.now(), wall: () => Date.now() },
  telemetry: silentTelemetry,
});

const rejectRequest: Handler = () =>
  Promise.reject(new Error('expected messages only, got a peer request'));

const wait = (millis: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, millis);
  });

/** Cost of a number of connections whose both ends are in this process. */
interface LinkCost {
  readonly linkCount: number;
  /** Heap and external memory in bytes. */
  readonly memoryBytes: number;
  /** Bytes a second on the sockets in both directions while no message is sent. */
  readonly idleBytesPerSecond: number;
}

/** Starts a peer server that adds the sockets it accepts to `sockets`. */
const listenOn = async (sockets: Socket[]): Promise<Server> => {
  const handlers = { owner: rejectRequest, home: rejectRequest, claimant: rejectRequest };
  const server = createPeerServer(contextOf(0), { handlers, onMessage: () => {} });
  server.on('connection', (socket) => sockets.push(socket));
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return server;
};

const measureLinks = async (linkCount: number): Promise<LinkCost> => {
  const sockets: Socket[] = [];
  const server = await listenOn(sockets);
  const { port } = server.address() as AddressInfo;
  const before = memoryUsed();
  const links = range(linkCount).map((i) => createPeerLink(contextOf(i)));
  const to = { ...memberAt(0), address: '127.0.0.1', peerPort: port };
  links.forEach((link) => link.send(to, { topic: 'membership', body: 'x' }));
  await wait(SETTLE_MS);
  const memoryBytes = memoryUsed() - before;
  const transferredBytes = (): number =>
    sockets.reduce((sum, { bytesRead, bytesWritten }) => sum + bytesRead + bytesWritten, 0);
  const bytesAtStart = transferredBytes();
  await wait(IDLE_WINDOW_MS);
  const idleBytesPerSecond = ((transferredBytes() - bytesAtStart) * 1000) / IDLE_WINDOW_MS;
  links.forEach((link) => link.close());
  server.close();
  server.closeAllConnections();
  await wait(SETTLE_MS);
  return { linkCount, memoryBytes, idleBytesPerSecond };
};

/** Measures idle peer links. */
export const linkSlopes = async (): Promise<readonly Slope[]> => {
  const costs: LinkCost[] = [];
  for (const size of LINK_COUNTS) costs.push(await measureLinks(size));
  const slope = (what: string, unit: string, pick: (cost: LinkCost) => number): Slope => ({
    role: 'peer link',
    what,
    unit,
    per: 'connections (both ends)',
    points: costs.map((cost) => [cost.linkCount, pick(cost)]),
  });
  return [
    slope(
      'heap and buffers, sockets of the kernel not counted',
      'B',
      ({ memoryBytes }) => memoryBytes,
    ),
    slope('bytes while idle, both ways', 'B/s', ({ idleBytesPerSecond }) => idleBytesPerSecond),
  ];
};
