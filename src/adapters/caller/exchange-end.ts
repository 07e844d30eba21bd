import type { ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

/** Listeners of the exchanges of a connection that are not over. */
const listenersBySocket = new WeakMap<Socket, Set<() => void>>();

/** Whether the response is closed, or its caller has left. */
export const hasEnded = (res: ServerResponse): boolean => res.destroyed || res.req.socket.destroyed;

/**
 * Calls `listener` once, when the response is complete or the caller leaves. Node emits `close` on a
 * connection's end only on the response that is being written, not on those behind it.
 */
export const onceEnded = (res: ServerResponse, listener: () => void): void => {
  const { socket } = res.req;
  const known = listenersBySocket.get(socket);
  const listeners = known ?? new Set();
  if (!known) {
    listenersBySocket.set(socket, listeners);
    socket.once('close', () => listeners.forEach((each) => each()));
  }
  const end = (): void => {
    if (listeners.delete(end)) listener();
  };
  listeners.add(end);
  res.once('close', end);
};
