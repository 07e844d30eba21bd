/** A stand-in for a backend: HTTP/1.1 over raw TCP, one request at a time on a connection. */
import { Buffer } from 'node:buffer';
import { clearInterval, setInterval } from 'node:timers';
import { createServer } from 'node:net';

import { listen } from './net.mjs';

const HEAD_END = '\r\n\r\n';
/** Interval in milliseconds at which a backend writes its entry. */
const HEARTBEAT_MS = 1500;

/** Returns the value of a header of a head; empty if it is absent. */
export const headerOf = (head, name) => {
  const prefix = `${name.toLowerCase()}:`;
  const line = head.split('\r\n').find((text) => text.toLowerCase().startsWith(prefix));
  return line === undefined ? '' : line.slice(prefix.length).trim();
};

/** Returns an answer of a sound backend as bytes. */
export const answerOf = (id, body, { status = '200 OK', lines = [] } = {}) =>
  Buffer.concat([
    Buffer.from(
      [
        `HTTP/1.1 ${status}`,
        `X-Redwingmount-Request-Id: ${id}`,
        `X-Redwingmount-Response-Signature: sig.${id}`,
        ...lines,
        `Content-Length: ${Buffer.byteLength(body)}`,
        '',
        '',
      ].join('\r\n'),
      'latin1',
    ),
    Buffer.from(body),
  ]);

/**
 * A backend under one id. `respond(request, socket, backend)` writes the answer to a request that
 * runs; `request` holds `id`, `method`, `target`, `head` and `body`.
 */
export class Backend {
  /** Every request that began to run. */
  runs = [];

  sockets = new Set();

  sequence = 0;

  constructor({ id, service, zone, respond, slots = 6, address = '127.0.0.1' }) {
    Object.assign(this, { id, service, zone, respond, slots, address });
    this.born = Date.now();
    this.server = createServer((socket) => this.onConnection(socket));
  }

  async start() {
    this.port = await listen(this.server, this.address);
  }

  /** The entry that the backend writes to the store. */
  entry(state = 'ready') {
    this.sequence += 1;
    return {
      address: `${this.address}:${this.port}`,
      born: this.born,
      info: { service: this.service, version: 'v1', zone: this.zone, slots: this.slots },
      status: { state, sequence: this.sequence, warmupLeftMs: 0 },
    };
  }

  /** Writes the entry, from now on with this state, at once and at each heartbeat. */
  register(store, state = 'ready') {
    clearInterval(this.beatTimer);
    const beat = () => store.put('keyed.servers', this.id, this.entry(state));
    beat();
    this.beatTimer = setInterval(beat, HEARTBEAT_MS).unref();
  }

  onConnection(socket) {
    this.sockets.add(socket);
    socket.setNoDelay(true);
    socket.on('error', () => {});
    socket.on('close', () => this.sockets.delete(socket));
    let received = Buffer.alloc(0);
    socket.on('data', (chunk) => {
      received = Buffer.concat([received, chunk]);
      for (;;) {
        const headEnd = received.indexOf(HEAD_END);
        if (headEnd < 0) return;
        const head = received.toString('latin1', 0, headEnd);
        const bodyStart = headEnd + HEAD_END.length;
        const bodyEnd = bodyStart + Number(headerOf(head, 'content-length') || 0);
        if (received.length < bodyEnd) return;
        const body = received.subarray(bodyStart, bodyEnd);
        received = received.subarray(bodyEnd);
        this.onRequest(head, body, socket);
      }
    });
  }

  onRequest(head, body, socket) {
    const [method = '', target = ''] = head.split(' ');
    const id = headerOf(head, 'X-Redwingmount-Request-Id');
    const wanted = headerOf(head, 'X-Redwingmount-Target-Instance');
    if (wanted !== '' && wanted !== this.id) {
      socket.write(
        `HTTP/1.1 421 Misdirected Request\r\nX-Redwingmount-Request-Id: ${id}\r\n` +
          `X-Redwingmount-Instance-Id: ${this.id}\r\nContent-Length: 0\r\n\r\n`,
      );
      return;
    }
    const request = { id, method, target, head, body, at: Date.now() };
    this.runs.push(request);
    this.respond(request, socket, this);
  }

  /** Ends as a crash does: the listener closes and all connections are reset. */
  crash() {
    clearInterval(this.beatTimer);
    this.server.close();
    this.sockets.forEach((socket) => socket.resetAndDestroy());
  }
}
