/** Callers in another thread, which send while the event loop of this one is blocked. */
import { Worker } from 'node:worker_threads';

import { systemClock } from '../../src/adapters';

import { turns, until } from './caller-server-scene';

const CALLERS = `
const { parentPort, workerData } = require('worker_threads');
const net = require('net');
const { port, texts, isConnectedEarly, sent } = workerData;
const count = new Int32Array(sent);
const answers = texts.map(() => '');
const sentAt = [];
const send = (socket, i) => {
  sentAt[i] = process.hrtime.bigint();
  socket.write(texts[i], () => Atomics.add(count, 0, 1));
};
let closed = 0;
const connect = (then) => texts.map((_, i) => {
  const socket = net.connect(port, '127.0.0.1', () => then(socket, i));
  socket.on('data', (chunk) => { answers[i] += chunk.toString('latin1'); });
  socket.on('error', () => {});
  socket.on('close', () => { if (++closed === texts.length) parentPort.postMessage({ answers, sentAt }); });
  return socket;
});
let connected = 0;
const sockets = isConnectedEarly
  ? connect(() => { if (++connected === texts.length) parentPort.postMessage('ready'); })
  : [];
parentPort.once('message', () => {
  if (isConnectedEarly) sockets.forEach(send);
  else connect(send);
});
if (!isConnectedEarly) parentPort.postMessage('ready');
`;

/** Requests that were sent, and what their callers received. */
export interface BlockedRequests {
  /** When each was sent, on this thread's clock. */
  readonly sentAt: readonly number[];
  readonly answers: readonly string[];
}

/** Blocks the event loop for some milliseconds. */
export const block = (millis: number): void => {
  const end = systemClock.now() + millis;
  while (systemClock.now() < end);
};

/**
 * Sends each text on a connection of its own while the event loop is blocked, and blocks it for
 * `millis` more. The connections are opened before if `isConnectedEarly`, else meanwhile. Resolves
 * when all connections are closed, so that the texts must ask for that.
 */
export const sendWhileBlocked = async (
  port: number,
  texts: readonly string[],
  { isConnectedEarly, millis }: { readonly isConnectedEarly: boolean; readonly millis: number },
): Promise<BlockedRequests> => {
  const sent = new SharedArrayBuffer(Int32Array.BYTES_PER_ELEMENT);
  const workerData = { port, texts, isConnectedEarly, sent };
  const worker = new Worker(CALLERS, { eval: true, workerData });
  const messages: unknown[] = [];
  worker.on('message', (message) => messages.push(message));
  await until(() => messages.length === 1);
  await turns(texts.length + 4);
  worker.postMessage('send');
  const sentCount = new Int32Array(sent);
  while (Atomics.load(sentCount, 0) < texts.length) block(1);
  block(millis);
  await until(() => messages.length === 2);
  const { answers, sentAt } = messages[1] as { answers: string[]; sentAt: bigint[] };
  await worker.terminate();
  const offset = Number(process.hrtime.bigint()) / 1e6 - systemClock.now();
  return { answers, sentAt: sentAt.map((at) => Number(at) / 1e6 - offset) };
};
