import { expect } from 'earl';
import fc from 'fast-check';
import { describe, it } from 'node:test';

import { headerConventions, parseSettings } from '../../platform';
import { FreshnessExchange } from '../../src/gateway/peers/freshness-exchange';
import {
  decodeFreshnessMessage,
  type FreshnessMessage,
} from '../../src/gateway/peers/freshness-message';
import type { Member } from '../../src/model';
import { silentTelemetry } from '../fakes/telemetry';
import { VirtualTime } from '../fakes/virtual-time';

import { settingsText } from './harness';

const REVOCATION_MS = 5000;
const PEERS = ['a', 'b', 'c'].map((incarnation, i): Member => ({
  incarnation,
  dataCentre: 'takoradi',
  address: `10.0.0.${i}`,
  callerPort: 1,
  peerPort: 2,
  state: 'alive',
}));

/** An exchange in virtual time, with what it sends. */
class Bench {
  readonly time = new VirtualTime();

  readonly sent: FreshnessMessage[] = [];

  readonly telemetry = silentTelemetry();

  storeReads = 0;

  revocationTime: number | undefined = REVOCATION_MS;

  private draws = 0;

  readonly exchange = new FreshnessExchange(
    {
      settings: parseSettings('test', settingsText(4000, 1)).unsafeCoerce(),
      clock: { now: () => this.time.now, wall: () => 1e12 + Math.floor(this.time.now) },
      telemetry: this.telemetry,
      headerConventions,
      random: () => {
        this.draws += 1;
        return (this.draws % 997) / 997;
      },
    },
    { send: (_, __, body) => this.sent.push(body as FreshnessMessage) },
    {
      revocationTime: () => this.revocationTime,
      self: 'self',
      members: () => PEERS,
      source: () => 'b',
      readsAtStore: () => false,
      readStore: () => {
        this.storeReads += 1;
        return Promise.resolve();
      },
    },
    {
      after: (millis, action) => this.time.after(millis, action),
      afterPendingInput: (action) => action(),
    },
  );

  run(millis: number): void {
    this.time.runUntil(this.time.now + millis);
  }

  /** Gives the exchange a proof by a read at the store that ends now. */
  prove(position = 1): void {
    this.exchange.onReadStart(0)({ position, isEmpty: false });
  }

  /** Returns whether a promise has resolved in this turn, and its kind. */
  async kindNow(): Promise<string> {
    let kind = 'pending';
    void this.exchange.confirm().then((result) => {
      kind = result.kind;
    });
    await Promise.resolve();
    return kind;
  }
}

describe('the exchange of proofs', () => {
  it('confirms in the same turn and sends nothing while its proof is young', async () => {
    const bench = new Bench();
    bench.prove();
    bench.run(900);
    expect(await bench.kindNow()).toEqual('fresh');
    expect(bench.sent).toEqual([]);
  });

  it('sends nothing and never refuses without a bound, whatever it is asked', async () => {
    const bench = new Bench();
    bench.revocationTime = undefined;
    expect(await bench.kindNow()).toEqual('fresh');
    await bench.exchange.refresh();
    expect(bench.exchange.isRefusing()).toEqual(false);
    expect(bench.exchange.maxProofWait()).toEqual(undefined);
    const from = { address: '10.0.0.1', peerPort: 2 };
    bench.exchange.onMessage({ kind: 'ask', nonce: 1, from });
    bench.run(10_000);
    expect(bench.sent).toEqual([]);
  });

  it('lets a request wait for the reply to its question, and dates it from that', async () => {
    const bench = new Bench();
    bench.exchange.onApplied(1);
    const result = bench.exchange.confirm();
    expect(bench.sent.length).toEqual(2);
    bench.run(15);
    const nonce = bench.sent[0]?.nonce;
    bench.exchange.onMessage({ kind: 'proof', nonce, position: 1, age: 3900 });
    expect((await result).kind).toEqual('fresh');
    bench.run(86);
    // 3,900 ms before a question that is 101 ms old.
    expect((await bench.kindNow()) === 'fresh').toEqual(false);
  });

  it('lets a reply count only once its position is applied', async () => {
    const bench = new Bench();
    bench.exchange.onApplied(1);
    let kind = 'pending';
    void bench.exchange.confirm().then((result) => {
      kind = result.kind;
    });
    bench.exchange.onMessage({ kind: 'proof', nonce: bench.sent[0]?.nonce, position: 2, age: 5 });
    await new Promise(setImmediate);
    expect(kind).toEqual('pending');
    bench.exchange.onApplied(2);
    await new Promise(setImmediate);
    expect(kind).toEqual('fresh');
  });

  it('refuses after a round without a reply, and then at once and with a bound on questions', async () => {
    const bench = new Bench();
    const first = bench.exchange.confirm();
    bench.run(100);
    expect((await first).kind).toEqual('stale');
    expect(await bench.kindNow()).toEqual('stale');
    expect(bench.exchange.isRefusing()).toEqual(true);
    const before = bench.sent.length;
    for (let i = 0; i < 1000; i++) {
      void bench.exchange.confirm();
      void bench.exchange.refresh();
      bench.run(10);
    }
    // 10 s: a round of at most six questions every 0.48 s, and a read at the store each second.
    expect(bench.sent.length - before <= 6 * 21).toEqual(true);
    expect(bench.storeReads <= 11).toEqual(true);
    expect(bench.exchange.isRefusing()).toEqual(true);
    bench.prove();
    expect(await bench.kindNow()).toEqual('fresh');
    expect(bench.exchange.isRefusing()).toEqual(false);
  });

  it('replies with its own proof, or that it has none', () => {
    const bench = new Bench();
    const question = { kind: 'ask', nonce: 9, from: { address: '10.0.0.1', peerPort: 2 } };
    bench.exchange.onMessage(question);
    bench.prove(4);
    bench.run(300);
    bench.exchange.onMessage(question);
    expect(bench.sent).toEqual([
      { kind: 'proof', nonce: 9, position: 0 },
      { kind: 'proof', nonce: 9, position: 4, age: 300 },
    ]);
  });

  it('believes nothing that it did not ask for, or that came twice', async () => {
    const bench = new Bench();
    bench.exchange.onApplied(1);
    bench.exchange.onMessage({ kind: 'proof', nonce: 1, position: 1, age: 0 });
    expect(await bench.kindNow()).toEqual('pending');
    const nonce = bench.sent[0]?.nonce;
    bench.exchange.onMessage({ kind: 'proof', nonce, position: 1, age: 4500 });
    bench.exchange.onMessage({ kind: 'proof', nonce, position: 1, age: 0 });
    bench.run(100);
    expect((await bench.kindNow()) === 'fresh').toEqual(false);
  });

  it('asks nobody for keys that are unknown while its proof is very young', async () => {
    const bench = new Bench();
    bench.prove();
    await bench.exchange.refresh();
    expect(bench.sent).toEqual([]);
    bench.run(400);
    void bench.exchange.refresh();
    expect(bench.sent.length).toEqual(2);
  });
});

describe('a message of topic freshness', () => {
  it('that is malformed is refused, as a bad address or port would end the process', () => {
    const from = { address: '10.0.0.1', peerPort: 2 };
    [
      { kind: 'ask', nonce: 1, from: { ...from, address: 'host.example' } },
      { kind: 'ask', nonce: 1, from: { ...from, peerPort: 70_000 } },
      { kind: 'ask', nonce: 1, from: { ...from, peerPort: 0 } },
      { kind: 'ask', nonce: -1, from },
      { kind: 'proof', nonce: 1, position: 1, age: -5 },
      { kind: 'proof', nonce: 1, position: 1, age: NaN },
      { kind: 'proof', nonce: 1, position: -2, age: 5 },
      { kind: 'proof', nonce: 1, age: 5 },
      { kind: 'other', nonce: 1 },
    ].forEach((body) => expect(decodeFreshnessMessage(body)).toEqual(undefined));
    fc.assert(
      fc.property(fc.anything(), (body) => {
        expect(decodeFreshnessMessage(body)).toEqual(undefined);
      }),
      { seed: 1, numRuns: 500 },
    );
  });
});
