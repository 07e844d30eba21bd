import net from 'node:net';

import type { PlatformUpstream } from '../../../standins/platform';

import { HOST_NAME } from './callers';
import { REQUEST_DEADLINE_MS, type Violation } from './outcome-recorder';

/** Number of requests that one caller sends ahead. */
const PIPELINED_COUNT = 5;
/** Time in milliseconds after which a caller gives up what is unanswered. */
const GIVE_UP_MS = REQUEST_DEADLINE_MS + 500;

/** Length of the end of what came back that is kept. */
const KEPT_TEXT_BYTES = 300;

const countAnswers = (text: string): number => text.split('HTTP/1.1 ').length - 1;

/** What became of the requests of one connection. */
interface Burst {
  readonly ids: readonly string[];
  /** The process that read them, as `gateway life`. */
  readonly process: string;
  /** Number of answers, which come in the order of the requests. */
  readonly answers: number;
  /** Whether the gateway closed the connection, in place of the caller. */
  readonly isClosedByGateway: boolean;
  readonly text: string;
}

/** Callers that send requests ahead on one connection and stay until all are answered. */
export class PipeliningCallers {
  private readonly bursts: Burst[] = [];

  private count = 0;

  constructor(private readonly port: number) {}

  /**
   * Sends requests to a gateway; resolves when they are answered, cut off or given up. With
   * `streamedPath`, a request for it comes first, and orders behind it.
   */
  async pass(gatewayIp: string, process: string, streamedPath?: string): Promise<void> {
    this.count += 1;
    const ids = Array.from({ length: PIPELINED_COUNT }, (_, i) => `ahead-${this.count}-${i}`);
    const isSafe = (i: number): boolean => (streamedPath ? i === 0 : i % 2 === 0);
    const head = (id: string, i: number): string =>
      [
        isSafe(i) ? `GET ${streamedPath ?? '/read/x'} HTTP/1.1` : 'POST /book/x HTTP/1.1',
        `Host: ${HOST_NAME}`,
        `X-Redwingmount-Request-Id: ${id}`,
        `X-Redwingmount-Deadline-Ms: ${REQUEST_DEADLINE_MS}`,
        ...(isSafe(i) ? [] : ['Content-Length: 0']),
        '\r\n',
      ].join('\r\n');
    let text = '';
    let answers = 0;
    const socket = net.connect(this.port, gatewayIp, () => socket.write(ids.map(head).join('')));
    socket.on('error', () => {});
    let isGivenUp = false;
    await new Promise((resolve) => {
      const giveUp = (): void => {
        isGivenUp = true;
        socket.destroy();
      };
      const timer = setTimeout(giveUp, GIVE_UP_MS);
      socket.on('data', (chunk: Buffer) => {
        const joined = text + chunk.toString('latin1');
        answers += countAnswers(joined) - countAnswers(text);
        text = joined.slice(-KEPT_TEXT_BYTES);
        if (answers === ids.length) socket.end();
      });
      socket.on('close', () => {
        clearTimeout(timer);
        resolve(undefined);
      });
    });
    this.bursts.push({ ids, process, answers, isClosedByGateway: !isGivenUp, text });
  }

  /** Returns a violation for each request that has run and was cut off by a process not killed. */
  check(upstreams: readonly PlatformUpstream[], killed: ReadonlySet<string>): readonly Violation[] {
    const ran = new Set(upstreams.flatMap(({ runs }) => runs.map(({ id }) => id)));
    return this.bursts
      .filter(({ process, isClosedByGateway }) => isClosedByGateway && !killed.has(process))
      .flatMap(({ ids, process, answers, text }) =>
        ids
          .slice(answers)
          .filter((id) => ran.has(id))
          .map((id) => ({
            promise: 'a request that is sent ahead and has run is answered',
            detail: `${id} at ${process}, ${answers} of ${ids.length} answered: ${text}`,
          })),
      );
  }
}
