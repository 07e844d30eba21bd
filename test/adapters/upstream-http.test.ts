import { expect } from 'earl';
import { createServer, type AddressInfo, type Server } from 'node:net';
import { after, describe, it } from 'node:test';

import { createUpstreamClient, systemClock } from '../../src/adapters';
import type { AttemptResult, Call, Upstream } from '../../src/model';
import type { Attempt } from '../../src/ports';

const servers: Server[] = [];
after(() => servers.forEach((server) => server.close()));

const upstreamAt = (port: number): Upstream => ({
  id: 'b-1',
  service: 'bookings',
  dataCentre: 'takoradi',
  address: '127.0.0.1',
  port,
  slots: 6,
  connections: 350,
});

/**
 * Starts an upstream that answers the first data of each connection with `bytes` and closes it. If
 * `bytes` is undefined, it closes the connection without an answer.
 */
const startUpstream = async (bytes: string | undefined): Promise<Upstream> => {
  const server = createServer((socket) => {
    socket.on('error', () => {});
    socket.once('data', () => {
      if (bytes === undefined) socket.destroy();
      else socket.end(bytes);
    });
  });
  servers.push(server);
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return upstreamAt((server.address() as AddressInfo).port);
};

const callOf = (fields: Partial<Call> = {}): Call => ({
  id: 'c-1',
  service: 'bookings',
  method: 'POST',
  path: '/bookings',
  headers: [],
  workspace: '',
  idempotent: false,
  key: { kind: 'none' },
  deadline: systemClock.now() + 2000,
  ...fields,
});

const attemptAt = (upstream: Upstream, fields: Partial<Call> = {}): Promise<Attempt> =>
  createUpstreamClient(systemClock).attempt(
    upstream,
    callOf(fields),
    { kind: 'whole', bytes: Buffer.from('{}') },
    new AbortController().signal,
  );

/** Returns the result of an attempt and the part of its body that arrived. */
const readOutcome = async (
  attempt: Attempt,
): Promise<{ readonly body: string; readonly result: AttemptResult['kind'] }> => {
  if (attempt.kind === 'failed') return { body: '', result: attempt.result.kind };
  const chunks: Buffer[] = [];
  try {
    for await (const chunk of attempt.body) chunks.push(chunk as Buffer);
  } catch {
    // The tests compare the part that arrived before the error.
  }
  return { body: Buffer.concat(chunks).toString(), result: (await attempt.ended).kind };
};

const responseHead = (status: string, ...lines: string[]): string =>
  [`HTTP/1.1 ${status}`, ...lines, '', ''].join('\r\n');

describe('upstream attempt', () => {
  it('returns a complete answer', async () => {
    const upstream = await startUpstream(`${responseHead('200 OK', 'content-length: 5')}paid!`);
    expect(await readOutcome(await attemptAt(upstream))).toEqual({ body: 'paid!', result: 'ok' });
  });

  it('reports an answer shorter than its content-length as truncated', async () => {
    const upstream = await startUpstream(`${responseHead('200 OK', 'content-length: 9')}paid!`);
    expect((await readOutcome(await attemptAt(upstream))).result).toEqual('truncated');
  });

  it('reports an answer without a length as truncated, as its end cannot be checked', async () => {
    const upstream = await startUpstream(`${responseHead('200 OK')}paid!`);
    const attempt = await attemptAt(upstream);
    expect(attempt).toEqual({ kind: 'failed', result: { kind: 'truncated' }, ran: 'maybe' });
  });

  it('reports an answer to another request as mismatched', async () => {
    const other = responseHead('200 OK', 'redwing-request-id: c-2', 'content-length: 5');
    const attempt = await attemptAt(await startUpstream(`${other}paid!`));
    expect(attempt).toEqual({ kind: 'failed', result: { kind: 'mismatched' }, ran: 'maybe' });
  });

  ['000 OK', '099 OK', '600 OK', '999 OK'].forEach((status) => {
    it(`reports an answer of status ${status} as mismatched`, async () => {
      const head = responseHead(status, 'content-length: 5');
      const attempt = await attemptAt(await startUpstream(`${head}paid!`));
      expect(attempt).toEqual({ kind: 'failed', result: { kind: 'mismatched' }, ran: 'maybe' });
    });
  });

  it('never passes on the complete body of an answer whose digest does not match', async () => {
    const wrong = `content-digest: sha-256=:${Buffer.alloc(32).toString('base64')}:`;
    const upstream = await startUpstream(
      `${responseHead('200 OK', wrong, 'content-length: 5')}paid!`,
    );
    const { body, result } = await readOutcome(await attemptAt(upstream));
    expect(result).toEqual('mismatched');
    expect(body).not.toEqual('paid!');
  });

  it('reports that a request did not run when the upstream says so', async () => {
    const shed = responseHead('503 Busy', 'redwing-not-started: draining', 'content-length: 0');
    const attempt = await attemptAt(await startUpstream(shed));
    const result = { kind: 'shed', cause: 'draining' } as const;
    expect(attempt).toEqual({ kind: 'failed', result, ran: 'no' });
  });

  it('reports that a request did not run when the connection is refused', async () => {
    const attempt = await attemptAt(upstreamAt(1));
    expect(attempt).toEqual({ kind: 'failed', result: { kind: 'connect-failed' }, ran: 'no' });
  });

  it('reports that a request may have run when its connection is lost', async () => {
    const attempt = await attemptAt(await startUpstream(undefined));
    expect(attempt).toEqual({ kind: 'failed', result: { kind: 'reset' }, ran: 'maybe' });
  });

  it('reports an answer as cancelled, not truncated, when the reader stops', async () => {
    const megabyte = 1024 * 1024;
    const whole = `${responseHead('200 OK', `content-length: ${megabyte}`)}${'x'.repeat(megabyte)}`;
    const attempt = await attemptAt(await startUpstream(whole));
    if (attempt.kind === 'failed') throw new Error(attempt.result.kind);
    attempt.body.destroy();
    expect((await attempt.ended).kind).toEqual('cancelled');
  });

  it('does not send a request past its deadline', async () => {
    const upstream = await startUpstream(responseHead('200 OK', 'content-length: 0'));
    const attempt = await attemptAt(upstream, { deadline: systemClock.now() - 1 });
    const result = { kind: 'timeout', waited: 0 } as const;
    expect(attempt).toEqual({ kind: 'failed', result, ran: 'no' });
  });
});
