/** A stand-in for a backend: HTTP/1.1 over raw TCP, one request at a time on a connection. */
import { Buffer } from 'node:buffer';
import { clearInterval, setInterval } from 'node:timers';
import { createServer } from 'node:net';

import { listen } from './net.mjs';

const HEAD_END = '\r\n\r\n';
/** Interval in milliseconds at which a backend writes its entry. */
const HEARTBEAT_MS = 1500;
/** Number of requests that wait for a slot, as in the site files. */
const MAX_QUEUE_LENGTH = 24;

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
 * A backend under one id. `respond(request, socket, backend)` runs a request and writes its answer,
 * and resolves when its slot is free again; `request` holds `id`, `method`, `target`, `head` and
 * `body`. As many requests as there are slots run at a time; a few more wait, and others are
 * rejected without a run, as are those whose deadline passes while they wait.
 */
export class Backend {
  /** Every request that began to run. */
  runs = [];

  sockets = new Set();

  sequence = 0;

  /** Number of requests that run, and those that wait for a slot. */
  running = 0;

  queue = [];

  rejectedCount = 0;

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
    const remainingMs = Number(headerOf(head, 'X-Redwingmount-Deadline-Ms') || Infinity);
    const arrived = { id, method, target, head, body, deadline: Date.now() + remainingMs };
    if (this.running >= this.slots && this.queue.length >= MAX_QUEUE_LENGTH) {
      this.reject(arrived, socket);
      return;
    }
    this.queue.push({ arrived, socket });
    this.startNext();
  }

  /** Says that a request has not run. */
  reject({ id }, socket) {
    this.rejectedCount += 1;
    socket.write(
      `HTTP/1.1 503 Service Unavailable\r\nX-Redwingmount-Request-Id: ${id}\r\n` +
        'X-Redwingmount-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n',
    );
  }

  /** Runs waiting requests while there are free slots; drops those whose connection has closed. */
  startNext() {
    while (this.running < this.slots && this.queue.length > 0) {
      const { arrived, socket } = this.queue.shift();
      if (!socket.destroyed && Date.now() >= arrived.deadline) this.reject(arrived, socket);
      else if (!socket.destroyed) this.run({ ...arrived, at: Date.now() }, socket);
    }
  }

  async run(request, socket) {
    this.running += 1;
    this.runs.push(request);
    await this.respond(request, socket, this);
    this.running -= 1;
    this.startNext();
  }

  /** Ends as a crash does: the listener closes and all connections are reset. */
  crash() {
    clearInterval(this.beatTimer);
    this.server.close();
    this.sockets.forEach((socket) => socket.resetAndDestroy());
  }
}
