import { expect } from 'earl';
import fc from 'fast-check';
import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { after, describe, it } from 'node:test';
import { Readable } from 'node:stream';
import { pack } from 'msgpackr';
import { WebSocket } from 'ws';

import {
  createPeerLink,
  createPeerServer,
  decodeFrame,
  encodeFrame,
  PEER_VERSION,
  systemClock,
} from '../../src/adapters';
import { BodyError, unknownOutcome, type Call, type Member } from '../../src/model';
import type { Handler, Reply } from '../../src/ports';
import { silentTelemetry } from '../fakes/telemetry';

const MEGABYTE_BYTES = 1024 * 1024;

const nodeAt = (peerPort: number): Member => ({
  incarnation: `n${peerPort}`,
  dataCentre: 'takoradi',
  address: '127.0.0.1',
  callerPort: 1,
  peerPort,
  state: 'alive',
});

const callOf = (fields: Partial<Call> = {}): Call => ({
  id: 'c-1',
  service: 'archives',
  method: 'GET',
  path: '/bundle',
  headers: [],
  workspace: '',
  idempotent: true,
  key: { kind: 'none' },
  deadline: systemClock.now() + 10_000,
  ...fields,
});

const contextOf = (peerPort: number) => ({
  self: nodeAt(peerPort),
  clock: systemClock,
  telemetry: silentTelemetry(),
});

const closers: (() => void)[] = [];
after(() => closers.forEach((close) => close()));

const startServer = async (owner: Handler): Promise<Member> => {
  const refuse: Handler = async () => ({ kind: 'refused', outcome: unknownOutcome('home-gone') });
  const server: Server = createPeerServer(contextOf(0), {
    handlers: { owner, home: refuse, claimant: refuse },
    onMessage: () => {},
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  closers.push(() => {
    server.closeAllConnections();
    server.close();
  });
  return nodeAt((server.address() as AddressInfo).port);
};

const startLink = () => {
  const link = createPeerLink(contextOf(1));
  closers.push(() => link.close());
  return link;
};

const noBody = (): Readable => Readable.from([]);

const callWith = (to: Member, call = callOf(), body = noBody()): Promise<Reply> =>
  startLink().call(to, 'owner', call, body, new AbortController().signal);

const answerWith = (body: Readable): Reply => ({ kind: 'answer', status: 200, headers: [], body });

describe('peer link', () => {
  it('transfers the bodies of a call and of its answer', async () => {
    const to = await startServer(async (_call, body) => answerWith(body));
    const reply = await callWith(
      to,
      callOf(),
      Readable.from([Buffer.from('seat '), Buffer.from('14')]),
    );
    if (reply.kind !== 'answer') throw new Error(reply.outcome.reason);
    const chunks = await reply.body.toArray();
    expect(Buffer.concat(chunks as Buffer[]).toString()).toEqual('seat 14');
  });

  it('stops an endless body at 1 MB when the receiver does not read it', async () => {
    let produced = 0;
    const endless = Readable.from(
      (async function* produce() {
        for (;;) {
          produced += 64 * 1024;
          yield Buffer.alloc(64 * 1024);
        }
      })(),
      { objectMode: false },
    );
    const to = await startServer(async () => answerWith(endless));
    const reply = await callWith(to);
    if (reply.kind !== 'answer') throw new Error(reply.outcome.reason);
    await new Promise((resolve) => {
      setTimeout(resolve, 100);
    });
    reply.body.destroy();
    expect(produced <= MEGABYTE_BYTES).toEqual(true);
  });

  it('fails the received body when the sent body breaks off', async () => {
    const broken = Readable.from(
      (async function* produce() {
        yield Buffer.from('half');
        throw new BodyError('truncated');
      })(),
      { objectMode: false },
    );
    const to = await startServer(async () => answerWith(broken));
    const reply = await callWith(to);
    if (reply.kind !== 'answer') throw new Error(reply.outcome.reason);
    await expect(reply.body.toArray()).toBeRejectedWith(BodyError, 'body broke off: truncated');
  });

  it('refuses a call as not-run when no connection can be established', async () => {
    const reply = await callWith(nodeAt(1));
    expect(reply.kind === 'refused' && reply.outcome.kind).toEqual('not-run');
  });

  it('ends a call as unknown when the peer disconnects during it', async () => {
    const to = await startServer(() => {
      closers.pop()?.();
      return new Promise(() => {});
    });
    const reply = await callWith(to, callOf({ idempotent: false }));
    expect(reply).toEqual({
      kind: 'refused',
      outcome: unknownOutcome('peer-lost'),
      load: undefined,
    });
  });

  it('refuses a peer with another protocol version', async () => {
    const to = await startServer(async () => answerWith(noBody()));
    const socket = new WebSocket(`ws://127.0.0.1:${to.peerPort}/peer`);
    closers.push(() => socket.terminate());
    socket.on('open', () => {
      socket.send(encodeFrame({ t: 'hello', v: PEER_VERSION + 1, node: nodeAt(1) }));
    });
    const frame = await new Promise<Buffer>((resolve) => {
      socket.on('message', resolve);
    });
    expect(decodeFrame(frame).extract()).toEqual({ t: 'refuse-version', v: PEER_VERSION });
  });
});

describe('decodeFrame', () => {
  it('does not throw on arbitrary bytes', () => {
    fc.assert(
      fc.property(fc.uint8Array({ maxLength: 200 }), (bytes) => {
        decodeFrame(bytes);
      }),
      { seed: 1, numRuns: 2000 },
    );
  });

  it('refuses arbitrary msgpack values', () => {
    fc.assert(
      fc.property(fc.anything(), (value) => {
        expect(decodeFrame(pack(value)).isLeft()).toEqual(true);
      }),
      { seed: 2, numRuns: 500 },
    );
  });
});
