/** Links nodes by WebSocket connections that carry msgpack frames. */
import { createServer, type Server } from 'node:http';

import { WebSocketServer } from 'ws';

import { notRunOutcome, peerKey, type NodeAddress } from '../../model';
import type { PeerLink } from '../../ports';

import { MAX_FRAME_BYTES } from './frame';
import { acceptConnection, type PeerContext, type PeerService } from './incoming';
import { OutgoingConnection } from './outgoing';

export type { PeerContext, PeerService } from './incoming';
export { decodeFrame, encodeFrame, MAX_FRAME_BYTES, PEER_VERSION, type Frame } from './frame';

/** Time in milliseconds after a connection closed before the peer is dialed again. */
const REDIAL_DELAY_MS = 100;

/** Time in milliseconds after which an unused connection is closed. */
const IDLE_TIMEOUT_MS = 60_000;

/** The connection to a peer, and when it was last used. */
interface DialedPeer {
  readonly connection: OutgoingConnection;
  lastUsed: number;
}

/** A PeerLink that can be closed, as a whole or to one peer. */
export interface ClosablePeerLink extends PeerLink {
  /** Closes the connection to a peer. Calls on it end with the reason `peer-lost`. */
  drop(to: NodeAddress): void;
  close(): void;
}

/** Creates a PeerLink that dials each peer when it is first needed. */
export const createPeerLink = (context: PeerContext): ClosablePeerLink => {
  const dialed = new Map<string, DialedPeer>();
  /** The time at which the last connection to a peer closed. */
  const closedAt = new Map<string, number>();

  const connectionTo = (to: NodeAddress): OutgoingConnection | undefined => {
    const key = peerKey(to);
    const now = context.clock.now();
    const existing = dialed.get(key);
    if (existing) {
      existing.lastUsed = now;
      return existing.connection;
    }
    if (now - (closedAt.get(key) ?? -Infinity) < REDIAL_DELAY_MS) return undefined;
    const connection = new OutgoingConnection(`ws://${key}/peer`, context, () => {
      if (dialed.get(key)?.connection !== connection) return;
      dialed.delete(key);
      closedAt.set(key, context.clock.now());
    });
    dialed.set(key, { connection, lastUsed: now });
    return connection;
  };

  const sweepTimer = setInterval(() => {
    const now = context.clock.now();
    dialed.forEach(({ connection, lastUsed }) => {
      if (now - lastUsed > IDLE_TIMEOUT_MS && !connection.isBusy) connection.close();
    });
    closedAt.forEach((at, key) => {
      if (now - at > IDLE_TIMEOUT_MS) closedAt.delete(key);
    });
  }, IDLE_TIMEOUT_MS / 4);
  sweepTimer.unref();

  return {
    send: (to, message) => {
      const connection = connectionTo(to);
      if (connection) connection.sendMessage(message);
      else context.telemetry.count('peer-message-dropped', { topic: message.topic });
    },
    call: async (to, role, call, body, signal) => {
      const connection = connectionTo(to);
      if (connection) return connection.call(role, call, body, signal);
      return {
        kind: 'refused',
        outcome: notRunOutcome('connect-failed', REDIAL_DELAY_MS),
        unsent: true,
      };
    },
    drop: (to) => dialed.get(peerKey(to))?.connection.close(),
    close: () => {
      clearInterval(sweepTimer);
      dialed.forEach(({ connection }) => connection.close());
    },
  };
};

/** Creates the server that accepts the connections of peers. */
export const createPeerServer = (context: PeerContext, service: PeerService): Server => {
  const server = createServer((_req, res) => res.writeHead(426).end());
  const webSocketServer = new WebSocketServer({
    server,
    path: '/peer',
    maxPayload: MAX_FRAME_BYTES,
    perMessageDeflate: false,
  });
  webSocketServer.on('connection', (socket) => acceptConnection(socket, context, service));
  return server;
};
