/** A stand-in for the platform's upstreams, which speaks raw bytes so that it can break the protocol. */
import { createServer, type Socket } from 'node:net';

import { closeServer, listen, type StandIn } from '../server';

/** What an upstream does with a request. */
export type UpstreamFaultMode =
  | 'well'
  | 'fails'
  | 'sheds'
  | 'hangs'
  | 'resets'
  | 'truncates'
  | 'extra'
  | 'late-extra'
  | 'foreign-first'
  | 'unframed'
  | 'not-http'
  | 'unsigned'
  | 'wrong-chunk'
  /** Resets whatever comes on a connection that has been idle for `DROPPED_AFTER`. */
  | 'drops-idle'
  /** A body of `LARGE`, whole or broken off half-way. */
  | 'large'
  | 'large-cut'
  /** Rejects a request with a body before it has read it, and reads on. */
  | 'early';

/** A request as the upstream read it. */
export interface SeenRequest {
  readonly id: string;
  readonly head: string;
  readonly body: string;
  readonly connection: number;
  /** Unix milliseconds. */
  readonly at: number;
}

/** A running upstream and its controls. */
export interface PlatformUpstream extends StandIn {
  readonly id: string;
  mood: UpstreamFaultMode;
  /** Milliseconds that a request takes. */
  work: number;
  /** Requests that began to run, in order. */
  readonly runs: SeenRequest[];
  /** Requests whose connection closed while they ran. */
  readonly cancelled: string[];
}

/** Bytes; more than a gateway holds. */
export const LARGE = 3 * 2 ** 20;
/** Milliseconds. */
const DROPPED_AFTER = 120;

const HEADER_END = '\r\n\r\n';

const headerOf = (head: string, name: string): string =>
  new RegExp(`^${name}: *(.*)$`, 'im').exec(head)?.[1]?.trim() ?? '';

const answer = (id: string, body: string, more: readonly string[] = []): string =>
  [
    'HTTP/1.1 200 OK',
    `X-Redwingmount-Request-Id: ${id}`,
    'X-Redwingmount-Response-Signature: 3e1b.07',
    'X-Redwingmount-Backend-Load: 1,0,6',
    `Content-Length: ${body.length}`,
    ...more,
    '',
    body,
  ].join('\r\n');

class Upstream implements PlatformUpstream {
  port = 0;

  mood: UpstreamFaultMode = 'well';

  work = 5;

  readonly runs: SeenRequest[] = [];

  readonly cancelled: string[] = [];

  readonly server = createServer((socket) => this.onConnection(socket));

  private readonly sockets = new Set<Socket>();

  private connections = 0;

  constructor(readonly id: string) {}

  close(): Promise<void> {
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
      const idleFor = Date.now() - lastAt;
      lastAt = Date.now();
      if (this.mood === 'drops-idle' && idleFor > DROPPED_AFTER) {
        socket.resetAndDestroy();
        return;
      }
      text += chunk.toString('latin1');
      const headEnd = text.indexOf(HEADER_END);
      if (headEnd < 0) return;
      const head = text.slice(0, headEnd);
      const length = Number(headerOf(head, 'content-length') || 0);
      const bodyStart = headEnd + HEADER_END.length;
      const id = headerOf(head, 'X-Redwingmount-Request-Id');
      if (this.mood === 'early' && length > 0 && !isAnswered) {
        isAnswered = true;
        this.runs.push({ id, head, body: '', connection, at: Date.now() });
        socket.write(answer(id, `${this.id} ${id}`).replace('200 OK', '400 Bad Request'));
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

  private finish(socket: Socket, seen: SeenRequest): void {
    const body = `${this.id} ${seen.id}`;
    const whole = answer(seen.id, body);
    switch (this.mood) {
      case 'well':
      case 'sheds':
      case 'drops-idle':
      case 'early':
        socket.write(whole);
        return;
      case 'fails':
        socket.write(whole.replace('200 OK', '500 Internal Server Error'));
        return;
      case 'hangs':
        return;
      case 'resets':
        socket.resetAndDestroy();
        return;
      case 'truncates':
        socket.end(whole.slice(0, -3));
        return;
      case 'extra':
        socket.write(whole + answer('another', 'extra'));
        return;
      case 'late-extra':
        socket.write(whole);
        setTimeout(() => socket.write(answer('another', 'late')), 20);
        return;
      case 'foreign-first':
        socket.write(answer('another', 'foreign') + whole);
        return;
      case 'unframed':
        socket.end(whole.replace(/Content-Length.*\r\n/, ''));
        return;
      case 'large':
        socket.write(answer(seen.id, 'x'.repeat(LARGE - body.length) + body));
        return;
      case 'large-cut':
        socket.end(answer(seen.id, 'x'.repeat(LARGE)).slice(0, LARGE / 2));
        return;
      case 'not-http':
        socket.write('SSH-2.0-wrong\r\n\r\n');
        return;
      case 'unsigned':
        socket.write(whole.replace(/X-Redwingmount-Response-Signature.*\r\n/, ''));
        return;
      case 'wrong-chunk':
        socket.write(
          whole
            .replace(/Content-Length.*\r\n/, 'Transfer-Encoding: chunked\r\n')
            .replace(body, `4\r\n${body.slice(0, 4)}\r\nzz\r\n\r\n`),
        );
    }
  }

  private serve(socket: Socket, seen: SeenRequest): void {
    const target = headerOf(seen.head, 'X-Redwingmount-Target-Instance');
    if (target !== '' && target !== this.id) {
      socket.write(
        `HTTP/1.1 421 Misdirected Request\r\nX-Redwingmount-Instance-Id: ${this.id}\r\nContent-Length: 0\r\n\r\n`,
      );
      return;
    }
    if (this.mood === 'sheds') {
      socket.write(
        'HTTP/1.1 503 Service Unavailable\r\nX-Redwingmount-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n',
      );
      return;
    }
    this.runs.push(seen);
    const onClose = (): void => {
      this.cancelled.push(seen.id);
    };
    setTimeout(() => {
      socket.off('close', onClose);
      if (!socket.destroyed) this.finish(socket, seen);
    }, this.work);
    socket.once('close', onClose);
  }
}

/** Starts an upstream on loopback; its answers' bodies are `<its id> <the request's id>`. */
export const startPlatformUpstream = async (id: string): Promise<PlatformUpstream> => {
  const upstream = new Upstream(id);
  upstream.port = await listen(upstream.server, 0);
  return upstream;
};
