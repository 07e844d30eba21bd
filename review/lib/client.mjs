/** A stand-in for a client's connection: HTTP/1.1 over raw TCP, with pipelining. */
import { Buffer } from 'node:buffer';
import { connect } from 'node:net';

import { headerOf } from './backend.mjs';

const HEAD_END = '\r\n\r\n';

/** Encodes a client's request. */
export const requestOf = ({ id, host, path, method = 'GET', deadlineMs = 2500, body = '' }) =>
  [
    `${method} ${path} HTTP/1.1`,
    `Host: ${host}`,
    `X-Redwingmount-Request-Id: ${id}`,
    `X-Redwingmount-Deadline-Ms: ${deadlineMs}`,
    ...(body === '' && method === 'GET' ? [] : [`Content-Length: ${Buffer.byteLength(body)}`]),
    '',
    body,
  ].join('\r\n');

/**
 * A connection that reads answers strictly in the order of its requests. `answers` gets one entry
 * an answer: status, headers, body, and how its end was marked.
 */
export class ClientConnection {
  answers = [];

  /** How the connection ended: `fin`, `reset` or undefined while it is open. */
  end;

  received = Buffer.alloc(0);

  constructor(host, port) {
    this.socket = connect({ host, port, noDelay: true });
    this.connected = new Promise((resolve, reject) => {
      this.socket.once('connect', resolve);
      this.socket.once('error', reject);
    });
    this.closed = new Promise((resolve) => {
      this.socket.once('close', () => {
        this.end ??= 'fin';
        resolve();
      });
    });
    this.socket.on('error', () => {
      this.end = 'reset';
    });
    this.socket.on('end', () => this.onEnd());
    this.socket.on('data', (chunk) => {
      this.received = Buffer.concat([this.received, chunk]);
      this.parse();
    });
  }

  write(text) {
    this.socket.write(text);
  }

  parse() {
    for (;;) {
      const headEnd = this.received.indexOf(HEAD_END);
      if (headEnd < 0) return;
      const head = this.received.toString('latin1', 0, headEnd);
      const length = headerOf(head, 'content-length');
      if (length === '') return;
      const bodyEnd = headEnd + HEAD_END.length + Number(length);
      if (this.received.length < bodyEnd) return;
      this.push(head, this.received.subarray(headEnd + HEAD_END.length, bodyEnd), 'length');
      this.received = this.received.subarray(bodyEnd);
    }
  }

  /** Takes in the end of the connection, which is the end of a body without a length. */
  onEnd() {
    this.end ??= 'fin';
    const headEnd = this.received.indexOf(HEAD_END);
    if (headEnd < 0) return;
    const head = this.received.toString('latin1', 0, headEnd);
    if (headerOf(head, 'content-length') !== '' || headerOf(head, 'transfer-encoding') !== '')
      return;
    this.push(head, this.received.subarray(headEnd + HEAD_END.length), 'connection');
    this.received = Buffer.alloc(0);
  }

  push(head, body, framedBy) {
    const status = Number(head.split(' ')[1]);
    const id = headerOf(head, 'X-Redwingmount-Request-Id');
    const signature = headerOf(head, 'X-Redwingmount-Response-Signature');
    this.answers.push({ status, id, signature, head, body, framedBy, at: Date.now() });
    this.onAnswer?.();
  }

  close() {
    this.socket.destroy();
  }
}
