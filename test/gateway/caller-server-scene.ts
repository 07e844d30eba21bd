/** A caller server without a gateway, for tests of callers' connections. */
import net, { type AddressInfo, type Socket } from 'node:net';

import { systemClock } from '../../src/adapters';
import { headerConventions, parseSettings } from '../../platform';
import { ArrivalTimes } from '../../src/gateway/arriving/arrival-times';
import { CallerServer } from '../../src/gateway/arriving/caller-server';
import type { CallerRequest } from '../../src/gateway/request/caller-request';
import { HostMemory } from '../../src/gateway/memory';
import type { CallerReply } from '../../src/gateway/arriving/replies';
import type { AnswerBody } from '../../src/gateway/sending/exchange';

import { recordingTelemetry, settingsText } from './harness';
import { serverResources } from './server-resources';

/** With a quarter for buffers the limit is 1 MB, and reading pauses at half of that. */
export const HOST_MEMORY_BYTES = 4e6;
const LIMITS = {
  maxHeaderBytes: 16 * 1024,
  maxBodyBytes: 300_000,
  headerTimeout: 3000,
  idleTimeout: 15_000,
};

/** Waits until a condition holds; rejects after 10 seconds. */
export const until = async (condition: () => boolean): Promise<void> => {
  const deadline = Date.now() + 10_000;
  while (!condition()) {
    if (Date.now() > deadline) throw new Error(`not met in 10 s: ${condition.toString()}`);
    await new Promise((resolve) => {
      setTimeout(resolve, 10);
    });
  }
};

/** Waits for turns of the event loop. */
export const turns = async (count: number): Promise<void> => {
  for (let i = 0; i < count; i++)
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
};

/** Returns a GET request as it is sent; `more` are header lines. */
export const requestText = (id: string, more: readonly string[] = []): string =>
  [`GET /${id} HTTP/1.1`, 'Host: h', `X-Redwingmount-Request-Id: ${id}`, ...more, '\r\n'].join(
    '\r\n',
  );

/** Returns GET requests as they are sent on one connection. */
export const textOf = (ids: readonly string[]): string => ids.map((id) => requestText(id)).join('');

/** Returns ids of requests. */
export const idsOf = (count: number): readonly string[] =>
  Array.from({ length: count }, (_, i) => `q${i}`);

/** Returns an answer of an upstream to a request. */
export const answerOf = (
  id: string,
  body: Extract<CallerReply, { kind: 'answer' }>['body'],
): CallerReply => ({
  kind: 'answer',
  head: {
    status: 200,
    rawHeaders: ['x-redwingmount-request-id', id],
    keepsAlive: true,
    length: body.kind === 'whole' ? body.bytes.length : undefined,
    endsWithConnection: false,
  },
  body,
  upstream: undefined,
});

/** A caller server whose requests go on until their caller leaves, unless they have a reply. */
export class CallerServerScene {
  readonly telemetry = recordingTelemetry();

  readonly memory: HostMemory;

  readonly arrivals: ArrivalTimes;

  readonly caller: CallerServer;

  /** Ids of the requests that are served, in order. */
  readonly served: string[] = [];

  /** Ids of the requests whose signal was aborted. */
  readonly cancelled = new Set<string>();

  /** Replies by request id; the others get none. */
  readonly replies = new Map<string, CallerReply>();

  private readonly sockets: Socket[] = [];

  /** Answers requests by id that have no reply yet. */
  private readonly answers = new Map<string, (body?: AnswerBody) => void>();

  constructor(memoryBytes = HOST_MEMORY_BYTES) {
    const parsed = parseSettings('test', settingsText(8000, 9000)).unsafeCoerce();
    const settings = { ...parsed, limits: { ...parsed.limits, memoryBytes } };
    const { telemetry } = this;
    this.memory = new HostMemory({ settings, telemetry, clock: systemClock });
    this.arrivals = new ArrivalTimes({ clock: systemClock, telemetry });
    this.caller = new CallerServer(
      { settings, clock: systemClock, telemetry, headerConventions, random: () => 0 },
      {
        limits: () => LIMITS,
        isStopping: () => false,
        resources: serverResources(this.memory),
        arrivals: this.arrivals,
        serve: (request) => this.serve(request),
      },
    );
    this.arrivals.watch(this.caller.server);
  }

  get port(): number {
    return (this.caller.server.address() as AddressInfo).port;
  }

  async listen(): Promise<void> {
    await new Promise<void>((resolve) => {
      this.caller.server.listen(0, '127.0.0.1', resolve);
    });
  }

  /** Connects a caller that writes `text` and reads nothing unless `reads`. */
  connect(text: string): Socket & { received: string } {
    const socket = Object.assign(
      net.connect(this.port, '127.0.0.1', () => socket.write(text)),
      { received: '' },
    );
    socket.on('data', (chunk: Buffer) => {
      socket.received += chunk.toString('latin1');
    });
    socket.on('error', () => {});
    this.sockets.push(socket);
    return socket;
  }

  /** Answers a request that is served; by default with its id. */
  answer(id: string, body?: AnswerBody): void {
    this.answers.get(id)?.(body);
  }

  /** Longest time in milliseconds for which a request outlived its caller, by the log. */
  get longestOutliving(): number {
    const times = this.telemetry.events
      .filter(({ name }) => name === 'undelivered')
      .map(({ fields }) => Number(fields.leftMs));
    return Math.max(0, ...times);
  }

  close(): void {
    this.arrivals.close();
    this.sockets.forEach((socket) => socket.destroy());
    this.caller.server.close();
    this.caller.server.closeAllConnections();
  }

  private serve({ id, signal }: CallerRequest): Promise<CallerReply> {
    this.served.push(id);
    const reply = this.replies.get(id);
    return new Promise((resolve) => {
      if (reply) resolve(reply);
      this.answers.set(id, (body) =>
        resolve(answerOf(id, body ?? { kind: 'whole', bytes: Buffer.from(`<${id}>`) })),
      );
      signal.addEventListener('abort', () => {
        this.cancelled.add(id);
        resolve({ kind: 'nobody' });
      });
    });
  }
}
