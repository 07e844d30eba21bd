/**
 * A stand-in for the platform's upstreams that writes HTTP/1.1 as raw bytes, so that it can violate
 * the protocol.
 */
import { randomBytes } from 'node:crypto';
import { createServer, type Socket } from 'node:net';

import { closeServer, listen, type StandIn } from '../server';

import { HEAD_END, headerOf, okResponse, refusalOf } from './responses';

/** What an upstream does with a request; `well` answers it correctly. */
export type UpstreamFaultMode =
  | 'well'
  /** Answers 500. */
  | 'fails'
  /** Answers 503 without running the request. */
  | 'sheds'
  /**
   * Refuses the first request of a connection. Runs the later ones, but first writes the refusal
   * once more: without a request id, or with that of the first request.
   */
  | 'sheds-again'
  | 'sheds-again-with-id'
  /** Runs the request and never answers. */
  | 'hangs'
  /** Resets the connection in place of an answer. */
  | 'resets'
  /** Closes the connection 3 bytes before the end of the body. */
  | 'truncates'
  /** Sends a response of another request after the right one: at once, or 20 ms later. */
  | 'extra'
  | 'late-extra'
  /** Sends a response of another request before the right one. */
  | 'foreign-first'
  /** Sends no content-length; the end of the connection ends the body. */
  | 'unframed'
  /** Sends a line that is not HTTP. */
  | 'not-http'
  /** Adds a header line of random bytes. */
  | 'spoilt-head'
  /** Leaves out the signature header. */
  | 'unsigned'
  /** Sends a chunked body with an invalid chunk size. */
  | 'wrong-chunk'
  /** Resets a connection on data that comes after more than `IDLE_RESET_MS` of silence. */
  | 'drops-idle'
  /** Sends a body of `LARGE_BODY_BYTES`, complete or cut in the middle. */
  | 'large'
  | 'large-cut'
  /** Answers a request that has a body with 400 before it has read the body, and reads on. */
  | 'early';

/** A request as the upstream received it. */
export interface ReceivedRequest {
  /** Value of X-Redwingmount-Request-Id. */
  readonly id: string;
  /** Request line and headers, without the blank line. */
  readonly head: string;
  readonly body: string;
  /** Number of the connection, counted from 1. */
  readonly connection: number;
  /** Time of receipt in Unix milliseconds. */
  readonly at: number;
}

/** A running upstream and its controls. */
export interface PlatformUpstream extends StandIn {
  readonly id: string;
  /** The fault mode of requests from now on. */
  mood: UpstreamFaultMode;
  /** Writes the responses to requests that have run, in place of the fault mode. */
  respond: ((socket: Socket, request: ReceivedRequest) => void) | undefined;
  /** Time in milliseconds that a request takes. */
  work: number;
  /** Header lines that all its answers carry, such as `Server-Limit: 2`. */
  announces: readonly string[];
  /** Path whose requests crash it as soon as their work is done; empty if none does. */
  crashPath: string;
  /** Number of crashes so far. */
  readonly crashCount: number;
  /** Called when it listens again after a crash. */
  onRestart: (() => void) | undefined;
  /** Requests received, whether they ran or not. */
  readonly received: ReceivedRequest[];
  /** Requests that started to run, in order. */
  readonly runs: ReceivedRequest[];
  /** Ids of requests whose connection closed while they ran. */
  readonly cancelled: string[];
}

/** Body size of the large modes; more than a gateway buffers. */
export const LARGE_BODY_BYTES = 3 * 2 ** 20;
/** Size in bytes of the random header line of the mode `spoilt-head`. */
const SPOILT_BYTES = 24;
/** Time in milliseconds from a crash until the upstream listens again. */
const RESTART_MS = 1000;
/** Idle time of a connection after which the mode `drops-idle` resets it. */
const IDLE_RESET_MS = 120;

/** The TCP server of one upstream. */
class PlatformUpstreamServer implements PlatformUpstream {
  port = 0;

  mood: UpstreamFaultMode = 'well';

  respond: PlatformUpstream['respond'];

  work = 5;

  announces: readonly string[] = [];

  crashPath = '';

  crashCount = 0;

  onRestart: (() => void) | undefined;

  readonly received: ReceivedRequest[] = [];

  readonly runs: ReceivedRequest[] = [];

  readonly cancelled: string[] = [];

  readonly server = createServer((socket) => this.onConnection(socket));

  private restartTimer: NodeJS.Timeout | undefined;

  private readonly sockets = new Set<Socket>();

  /** Ids of the first requests of connections. */
  private readonly firstIds = new WeakMap<Socket, string>();

  private connections = 0;

  constructor(readonly id: string) {}

  close(): Promise<void> {
    clearTimeout(this.restartTimer);
    this.sockets.forEach((socket) => socket.destroy());
    return closeServer(this.server);
  }

  private onConnection(socket: Socket): void {
    this.connections += 1;
    const connection = this.connections;
    this.sockets.add(socket);
    socket.on('error', () => {});
    socket.on('close', () => this.sockets.delete(socket));
    let text = '';
    let isAnswered = false;
    let lastAt = Number.POSITIVE_INFINITY;
    socket.on('data', (chunk) => {
      const idleMs = Date.now() - lastAt;
      lastAt = Date.now();
      if (this.mood === 'drops-idle' && idleMs > IDLE_RESET_MS) {
        socket.resetAndDestroy();
        return;
      }
      text += chunk.toString('latin1');
      const headEnd = text.indexOf(HEAD_END);
      if (headEnd < 0) return;
      const head = text.slice(0, headEnd);
      const length = Number(headerOf(head, 'content-length') || 0);
      const bodyStart = headEnd + HEAD_END.length;
      const id = headerOf(head, 'X-Redwingmount-Request-Id');
      if (this.mood === 'early' && length > 0 && !isAnswered) {
        isAnswered = true;
        this.runs.push({ id, head, body: '', connection, at: Date.now() });
        socket.write(okResponse(id, `${this.id} ${id}`).replace('200 OK', '400 Bad Request'));
      }
      if (text.length < bodyStart + length) return;
      const body = text.slice(bodyStart, bodyStart + length);
      text = text.slice(bodyStart + length);
      const wasAnswered = isAnswered;
      isAnswered = false;
      if (wasAnswered) return;
      this.serve(socket, {
        id,
        head,
        body,
        connection,
        at: Date.now(),
      });
    });
  }

  /** Resets all connections and refuses new ones for `RESTART_MS`. */
  private crash(): void {
    if (!this.server.listening) return;
    this.crashCount += 1;
    this.server.close();
    this.sockets.forEach((socket) => socket.resetAndDestroy());
    this.restartTimer = setTimeout(() => {
      this.server.listen(this.port, '127.0.0.1', () => this.onRestart?.());
    }, RESTART_MS);
  }

  private announcedLines(): string {
    return this.announces.map((line) => `${line}\r\n`).join('');
  }

  /** Responds to a request that has run, as the fault mode says. */
  private writeResponse(socket: Socket, request: ReceivedRequest): void {
    const body = `${this.id} ${request.id}`;
    const response = okResponse(request.id, body, this.announces);
    switch (this.mood) {
      case 'well':
      case 'sheds':
      case 'sheds-again':
      case 'sheds-again-with-id':
      case 'drops-idle':
      case 'early':
        socket.write(response);
        return;
      case 'fails':
        socket.write(response.replace('200 OK', '500 Internal Server Error'));
        return;
      case 'hangs':
        return;
      case 'resets':
        socket.resetAndDestroy();
        return;
      case 'truncates':
        socket.end(response.slice(0, -3));
        return;
      case 'extra':
        socket.write(response + okResponse('another', 'extra'));
        return;
      case 'late-extra':
        socket.write(response);
        setTimeout(() => socket.write(okResponse('another', 'late')), 20);
        return;
      case 'foreign-first':
        socket.write(okResponse('another', 'foreign') + response);
        return;
      case 'unframed':
        socket.end(response.replace(/Content-Length.*\r\n/, ''));
        return;
      case 'large':
        socket.write(okResponse(request.id, 'x'.repeat(LARGE_BODY_BYTES - body.length) + body));
        return;
      case 'large-cut':
        socket.end(
          okResponse(request.id, 'x'.repeat(LARGE_BODY_BYTES)).slice(0, LARGE_BODY_BYTES / 2),
        );
        return;
      case 'not-http':
        socket.write('SSH-2.0-wrong\r\n\r\n');
        return;
      case 'spoilt-head':
        socket.write(
          response.replace(
            '\r\n',
            `\r\n${randomBytes(SPOILT_BYTES)
              .toString('latin1')
              .replace(/[\r\n]/g, '')}\r\n`,
          ),
          'latin1',
        );
        return;
      case 'unsigned':
        socket.write(response.replace(/X-Redwingmount-Response-Signature.*\r\n/, ''));
        return;
      case 'wrong-chunk':
        socket.write(
          response
            .replace(/Content-Length.*\r\n/, 'Transfer-Encoding: chunked\r\n')
            .replace(body, `4\r\n${body.slice(0, 4)}\r\nzz\r\n\r\n`),
        );
    }
  }

  /** Refuses a request for another instance or in mode `sheds`; otherwise runs it. */
  private serve(socket: Socket, request: ReceivedRequest): void {
    this.received.push(request);
    const target = headerOf(request.head, 'X-Redwingmount-Target-Instance');
    if (target !== '' && target !== this.id) {
      socket.write(
        `HTTP/1.1 421 Misdirected Request\r\nX-Redwingmount-Request-Id: ${request.id}\r\nX-Redwingmount-Instance-Id: ${this.id}\r\n${this.announcedLines()}Content-Length: 0\r\n\r\n`,
      );
      return;
    }
    const refusedId = this.firstIds.get(socket);
    if (refusedId === undefined) this.firstIds.set(socket, request.id);
    const isRefusedAgain = this.mood.startsWith('sheds-again');
    if (this.mood === 'sheds' || (isRefusedAgain && refusedId === undefined)) {
      socket.write(refusalOf(request.id, this.announcedLines()));
      return;
    }
    if (isRefusedAgain)
      socket.write(refusalOf(this.mood === 'sheds-again' ? '' : (refusedId ?? ''), ''));
    this.runs.push(request);
    const onClose = (): void => {
      this.cancelled.push(request.id);
    };
    setTimeout(() => {
      socket.off('close', onClose);
      if (this.crashPath !== '' && request.head.includes(` ${this.crashPath} `)) this.crash();
      if (socket.destroyed) return;
      if (this.respond) this.respond(socket, request);
      else this.writeResponse(socket, request);
    }, this.work).unref();
    socket.once('close', onClose);
  }
}

/**
 * Starts an upstream on a free port of loopback. Response bodies are `<upstream id> <request id>`.
 */
export const startPlatformUpstream = async (id: string, port = 0): Promise<PlatformUpstream> => {
  const upstream = new PlatformUpstreamServer(id);
  upstream.port = await listen(upstream.server, port);
  return upstream;
};
