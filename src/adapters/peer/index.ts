/** The links between nodes: ws connections that carry msgpack frames. */
import { createServer, type Server } from 'node:http';

import { WebSocketServer } from 'ws';

import { notRunOutcome, peerKey, type NodeAddress } from '../../model';
import type { PeerLink } from '../../ports';

import { MAX_FRAME_BYTES } from './frame';
import { acceptConnection, type PeerContext, type PeerService } from './incoming';
import { OutgoingConnection } from './outgoing';

export type { PeerContext, PeerService } from './incoming';
export { decodeFrame, encodeFrame, MAX_FRAME_BYTES, PEER_VERSION, type Frame } from './frame';

/** How long after a failed connection the next is tried. */
const REDIAL_AFTER_MS = 100;

/** An unused connection is closed after this long. */
const IDLE_MS = 60_000;

interface Dialed {
  readonly connection: OutgoingConnection;
  lastUsed: number;
}

/** A PeerLink that can be closed, and told that a peer is gone. */
export interface ClosablePeerLink extends PeerLink {
  /** Closes the connection to a peer; calls on it end as lost. */
  drop(to: NodeAddress): void;
  close(): void;
}

/** A PeerLink that dials each peer when first needed. */
export const createPeerLink = (context: PeerContext): ClosablePeerLink => {
  const dialed = new Map<string, Dialed>();
  const closedAt = new Map<string, number>();

  const connectionTo = (to: NodeAddress): OutgoingConnection | undefined => {
    const key = peerKey(to);
    const now = context.clock.now();
    const known = dialed.get(key);
    if (known) {
      known.lastUsed = now;
      return known.connection;
    }
    if (now - (closedAt.get(key) ?? -Infinity) < REDIAL_AFTER_MS) return undefined;
    const connection = new OutgoingConnection(`ws://${key}/peer`, context, () => {
      if (dialed.get(key)?.connection !== connection) return;
      dialed.delete(key);
      closedAt.set(key, context.clock.now());
    });
    dialed.set(key, { connection, lastUsed: now });
    return connection;
  };

  const sweep = setInterval(() => {
    const now = context.clock.now();
    dialed.forEach(({ connection, lastUsed }) => {
      if (now - lastUsed > IDLE_MS && !connection.isBusy) connection.close();
    });
    closedAt.forEach((at, key) => {
      if (now - at > IDLE_MS) closedAt.delete(key);
    });
  }, IDLE_MS / 4);
  sweep.unref();

  return {
    send: (to, message) => {
      const connection = connectionTo(to);
      if (connection) connection.message(message);
      else context.telemetry.count('peer-message-dropped', { topic: message.topic });
    },
    call: async (to, role, call, body, signal) => {
      const connection = connectionTo(to);
      if (connection) return connection.call(role, call, body, signal);
      return {
        kind: 'refused',
        outcome: notRunOutcome('connect-failed', REDIAL_AFTER_MS),
        unsent: true,
      };
    },
    drop: (to) => dialed.get(peerKey(to))?.connection.close(),
    close: () => {
      clearInterval(sweep);
      dialed.forEach(({ connection }) => connection.close());
    },
  };
};

/** Accepts the connections of peers. */
export const createPeerServer = (context: PeerContext, service: PeerService): Server => {
  const server = createServer((_req, res) => res.writeHead(426).end());
  const sockets = new WebSocketServer({
    server,
    path: '/peer',
    maxPayload: MAX_FRAME_BYTES,
    perMessageDeflate: false,
  });
  sockets.on('connection', (socket) => acceptConnection(socket, context, service));
  return server;
};
