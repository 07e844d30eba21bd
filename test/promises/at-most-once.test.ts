import { expect } from 'earl';
import { Readable } from 'node:stream';
import { describe, it } from 'node:test';
import { setTimeout } from 'node:timers/promises';

import {
  DEFAULT_CLAIM_LIMITS,
  DEFAULT_LEDGER_LIMITS,
  Homes,
  claimRangeOf,
  claimStream,
  entryId,
  parseClaimRecord,
  type HandoverMessage,
  type HomesEffect,
  type HomesEvent,
} from '../../src/core';
import { notRunOutcome, type Call } from '../../src/model';
import { ClaimantTask } from '../../src/tasks';
import {
  CountingUpstream,
  KeyedNodes,
  sendCall,
  clock,
  homedKey,
  nodeIdentity,
  aliveMember,
  bookingCall,
  replyText,
} from '../fakes/keyed-nodes';
import { withMockedTime } from '../fakes/mocked-time';
import { FakePlatformLog } from '../fakes/platform-log';
import { silentTelemetry } from '../fakes/telemetry';

/** Runs a test with nodes whose keyed calls run at one upstream. */
const withNodes = async (
  names: readonly string[],
  test: (nodes: KeyedNodes, upstream: CountingUpstream) => Promise<void>,
): Promise<void> => {
  const upstream = new CountingUpstream();
  const nodes = new KeyedNodes(names, upstream.run);
  await test(nodes, upstream).finally(() => nodes.close());
};

describe('at most once: homed keys', () => {
  it('runs concurrent requests of one key once, and gives each the answer', async () => {
    await withNodes(['n1'], async (nodes, upstream) => {
      const call = bookingCall(homedKey('n1', 'a'));
      const copies = [1, 2, 3].map(() => sendCall(nodes.serve('n1'), call));
      expect(await Promise.all(copies)).toEqual(Array(3).fill('201 booked 1 w1'));
      expect(upstream.runs).toEqual(1);
    });
  });

  it('treats the same key of two workspaces as different keys', async () => {
    await withNodes(['n1'], async (nodes) => {
      const key = homedKey('n1', 'a');
      expect(await sendCall(nodes.serve('n1'), bookingCall(key, 'w1'))).toEqual('201 booked 1 w1');
      expect(await sendCall(nodes.serve('n1'), bookingCall(key, 'w2'))).toEqual('201 booked 2 w2');
      expect(await sendCall(nodes.serve('n1'), bookingCall(key, 'w1'), 'other')).toEqual(
        'not-run/key-body-mismatch',
      );
    });
  });

  it('passes on an answer too large to keep, and refuses a retry as answer-not-kept', async () => {
    await withNodes(['n1'], async (nodes, upstream) => {
      Object.assign(upstream, { answer: 'x'.repeat(500) });
      const call = bookingCall(homedKey('n1', 'a'));
      expect((await sendCall(nodes.serve('n1'), call)).length).toEqual(4 + 500 + 5);
      expect(await sendCall(nodes.serve('n1'), call)).toEqual('unknown/answer-not-kept');
      expect(upstream.runs).toEqual(1);
    });
  });

  it('completes the run of a caller that disconnected, and gives its retry the answer', async () => {
    await withNodes(['n1'], async (nodes, upstream) => {
      const release = upstream.holdAnswers();
      const call = bookingCall(homedKey('n1', 'a'));
      const gone = new AbortController();
      const first = nodes.serve('n1')(call, Readable.from([Buffer.from('x')]), gone.signal);
      await new Promise(setImmediate);
      gone.abort();
      expect(await replyText(first)).toEqual('unknown/in-flight');
      const retry = sendCall(nodes.serve('n1'), call);
      release();
      expect(await retry).toEqual('201 booked 1 w1');
    });
  });

  it('refuses as unknown, not as not-run, at a node that is not the home', async () => {
    await withNodes(['n1', 'n2'], async (nodes) => {
      const answer = await sendCall(nodes.serve('n2'), bookingCall(homedKey('n1', 'a')));
      expect(answer).toEqual('unknown/home-unreachable');
    });
  });
});

describe('at most once: planned stop', () => {
  it('runs and replays old keys at the heir, when handover messages and acks are lost', async () => {
    await withNodes(['n1', 'n2'], async (nodes, upstream) => {
      const [before, inFlight, after] = ['a', 'b', 'c'].map((token) =>
        bookingCall(homedKey('n1', token)),
      );
      await sendCall(nodes.serve('n1'), before!);
      const release = upstream.holdAnswers();
      const running = sendCall(nodes.serve('n1'), inFlight!);
      await new Promise(setImmediate);
      nodes.loseMessages(3);
      const stopped = nodes.handover('n1').handOver(clock.now() + 5000);
      const retry = sendCall(nodes.serve('n1'), inFlight!);
      const newCall = sendCall(nodes.serve('n1'), after!);
      release();
      expect(await running).toEqual('201 booked 2 w1');
      expect(await retry).toEqual('201 booked 2 w1');
      expect(await newCall).toEqual('201 booked 3 w1');
      expect(await stopped).toEqual(true);
      expect(await sendCall(nodes.serve('n2'), before!)).toEqual('201 booked 1 w1');
      expect(await sendCall(nodes.serve('n2'), inFlight!)).toEqual('201 booked 2 w1');
      expect(nodes.handover('n2').holderOf('n1')?.incarnation).toEqual('n2');
      expect(upstream.runs).toEqual(3);
    });
  });

  const limits = { ...DEFAULT_LEDGER_LIMITS, startWindow: 1000, retention: 5000 };
  /** Returns a call whose key has the home `n1` and which must start before 1000 ms. */
  const callEvent = (key: string): HomesEvent => ({
    kind: 'call',
    call: {
      callId: key,
      home: 'n1',
      ref: { workspace: 'w1', key, startBefore: 1000 },
      fingerprint: 'f',
      deadline: 900,
    },
  });
  /** Returns the handover messages that the effects send. */
  const sentMessages = (effects: readonly HomesEffect[]): readonly HandoverMessage[] =>
    effects.flatMap((effect) => (effect.kind === 'send' ? [effect.message] : []));
  /** Stops a home at 10 ms. Returns its messages to the successor `n2`. */
  const handoverMessages = (holder: Homes): readonly HandoverMessage[] =>
    sentMessages(holder.apply({ kind: 'stop', successor: nodeIdentity('n2') }, 10));
  /** Returns the kind of each effect; of a refusal, the reason. */
  const effectKinds = (effects: readonly HomesEffect[]): readonly string[] =>
    effects.map((effect) => (effect.kind === 'refuse' ? effect.outcome.reason : effect.kind));

  it('is not accepted by a process other than the heir that gets its messages', () => {
    const holder = new Homes(nodeIdentity('n1'), limits, 0);
    const other = new Homes(nodeIdentity('n3'), limits, 0);
    handoverMessages(holder).forEach((message) => other.apply({ kind: 'message', message }, 20));
    expect(other.has('n1')).toEqual(false);
    expect(effectKinds(other.apply(callEvent('a'), 30))).toEqual(['not-here']);
  });

  it('names only one heir, and starts no call after it', () => {
    const holder = new Homes(nodeIdentity('n1'), limits, 0);
    handoverMessages(holder);
    expect(holder.apply({ kind: 'stop', successor: nodeIdentity('n3') }, 11)).toEqual([]);
    expect(holder.apply(callEvent('a'), 12)).toEqual([]);
    const ack = { kind: 'ack', home: 'n1', heir: 'n2', seq: 0 } as const;
    expect(effectKinds(holder.apply({ kind: 'message', message: ack }, 13))).toEqual(['forward']);
  });

  it('holds calls until the ledger is complete, and refuses them when the holder dies before', () => {
    const holder = new Homes(nodeIdentity('n1'), limits, 0);
    for (let i = 0; i < 300; i++) holder.apply(callEvent(`k${i}`), 1);
    const heir = new Homes(nodeIdentity('n2'), limits, 0);
    const [first, second] = handoverMessages(holder);
    heir.apply({ kind: 'message', message: second! }, 20);
    expect(heir.apply(callEvent('new'), 21)).toEqual([]);
    const effects = heir.apply({ kind: 'member-dead', incarnation: 'n1' }, 22);
    expect(effectKinds(effects)).toEqual(['home-gone']);
    heir.apply({ kind: 'message', message: first! }, 23);
    expect(effectKinds(heir.apply(callEvent('k7'), 24))).toEqual(['home-gone']);
    expect(effectKinds(heir.apply(callEvent('new'), 25))).toEqual(['run']);
  });

  it('keeps the refusals of the holder, and refuses keys that expired before the handover', () => {
    const holder = new Homes(nodeIdentity('n1'), limits, 0);
    holder.apply(callEvent('a'), 1);
    const id = entryId('w1', 'a');
    holder.apply({ kind: 'settle', home: 'n1', id, settlement: notRunOutcome('shed') }, 2);
    const heir = new Homes(nodeIdentity('n2'), limits, 0);
    const messages = sentMessages(
      holder.apply({ kind: 'stop', successor: nodeIdentity('n2') }, 1000),
    );
    messages.forEach((message) => heir.apply({ kind: 'message', message }, 5));
    expect(effectKinds(heir.apply(callEvent('a'), 6))).toEqual(['shed']);
    expect(effectKinds(heir.apply(callEvent('b'), 7))).toEqual(['key-expired']);
  });
});

describe('at most once: bare keys', () => {
  const key = { kind: 'bare', key: 'order-7' } as const;
  const stream = claimStream(claimRangeOf(key.key));

  /** Runs a test with claimants that share one log and one upstream. */
  const withClaimants = async (
    names: readonly string[],
    test: (
      claimants: readonly ClaimantTask[],
      upstream: CountingUpstream,
      log: FakePlatformLog,
    ) => Promise<void>,
  ): Promise<void> => {
    const upstream = new CountingUpstream();
    const log = new FakePlatformLog();
    const tasks = new Map<string, ClaimantTask>();
    names.forEach((name) => {
      const task = new ClaimantTask({
        self: nodeIdentity(name),
        log,
        peers: {
          send: () => {},
          call: (to, _role, ...args) => tasks.get(to.incarnation)!.serve(...args),
        },
        clock,
        telemetry: silentTelemetry(),
        claimLimits: { ...DEFAULT_CLAIM_LIMITS, appendInterval: 5 },
        ledgerLimits: DEFAULT_LEDGER_LIMITS,
        run: upstream.run,
      });
      tasks.set(name, task);
    });
    tasks.forEach((task) => task.updateMembers(names.map(aliveMember)));
    const closeAll = (): void => tasks.forEach((task) => task.close());
    await test([...tasks.values()], upstream, log).finally(closeAll);
  };
  /** Returns the call with a deadline `millis` milliseconds from now. */
  const expiringIn = (call: Call, millis: number): Call => ({
    ...call,
    deadline: clock.now() + millis,
  });

  it('runs a key once when several nodes act as the claimant of its range', async () => {
    await withClaimants(['n1', 'n2', 'n3'], async (claimants, upstream) => {
      const copies = claimants.map((task) => sendCall(task.serve, bookingCall(key)));
      expect(await Promise.all(copies)).toEqual(Array(3).fill('201 booked 1 w1'));
      expect(upstream.runs).toEqual(1);
    });
  });

  it('finds its claim by reading the log when the answer to the append is lost', async () => {
    await withClaimants(['n1'], async ([task], upstream, log) => {
      Object.assign(log, { loseAnswers: 2 });
      expect(await sendCall(task!.serve, bookingCall(key))).toEqual('201 booked 1 w1');
      expect(upstream.runs).toEqual(1);
    });
  });

  /** Returns whether the log of the key's range has a claim. */
  const isClaimed = (log: FakePlatformLog): boolean => {
    const records = log.stream(stream).keptValues().map(parseClaimRecord);
    return records.some((record) => record.unsafeCoerce().claims.length > 0);
  };

  it('neither runs a claim that takes effect after the deadline nor reports it as not-run', async () => {
    await withMockedTime(async (advance) => {
      await withClaimants(['n1', 'n2'], async ([one, two], upstream, log) => {
        // Until the range is open, a call waits for longer than its deadline before it is claimed.
        await advance(1000);
        Object.assign(log, { holdAppends: 100, heldFor: 300 });
        const late = sendCall(one!.serve, expiringIn(bookingCall(key), 100));
        await advance(101);
        expect(await late).toEqual('unknown/log-unavailable');
        expect(isClaimed(log)).toEqual(false);
        Object.assign(log, { holdAppends: 0 });
        await advance(1000);
        expect(isClaimed(log)).toEqual(true);
        expect(upstream.runs).toEqual(0);
        for (const task of [two!, one!]) {
          const retry = sendCall(task.serve, bookingCall(key));
          await advance(2000);
          expect(await retry).toEqual('201 booked 1 w1');
        }
        expect(upstream.runs).toEqual(1);
      });
    });
  });

  it('refuses a key during an outage of the log, and runs it after the outage', async () => {
    await withClaimants(['n1'], async ([task], upstream, log) => {
      await sendCall(task!.serve, bookingCall({ kind: 'bare', key: 'opens the ranges' }));
      Object.assign(log, { outage: true });
      expect(await sendCall(task!.serve, expiringIn(bookingCall(key), 400))).toEqual(
        'unknown/log-unavailable',
      );
      Object.assign(log, { outage: false });
      const again = async (): Promise<string> => {
        await setTimeout(50);
        const answer = await sendCall(task!.serve, bookingCall(key));
        return answer === 'unknown/log-unavailable' ? again() : answer;
      };
      expect(await again()).toEqual('201 booked 2 w1');
      expect(upstream.runs).toEqual(2);
    });
  });
});
