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
  type HandoverMessage,
  type HomesEffect,
  type HomesEvent,
} from '../../src/core';
import { notRunOutcome, type Call } from '../../src/model';
import { ClaimantTask } from '../../src/tasks';
import {
  CountingUpstream,
  KeyedNodes,
  ask,
  clock,
  homedKey,
  identity,
  member,
  post,
  textOf,
} from '../fakes/keyed-node';
import { FakePlatformLog } from '../fakes/platform-log';
import { silentTelemetry } from '../fakes/telemetry';

const withNodes = async (
  names: readonly string[],
  test: (nodes: KeyedNodes, upstream: CountingUpstream) => Promise<void>,
): Promise<void> => {
  const upstream = new CountingUpstream();
  const nodes = new KeyedNodes(names, upstream.run);
  await test(nodes, upstream).finally(() => nodes.close());
};

describe('at most once: homed keys', () => {
  it('runs copies sent together once, and gives each the answer', async () => {
    await withNodes(['n1'], async (nodes, upstream) => {
      const call = post(homedKey('n1', 'a'));
      const copies = [1, 2, 3].map(() => ask(nodes.serve('n1'), call));
      expect(await Promise.all(copies)).toEqual(Array(3).fill('201 booked 1 w1'));
      expect(upstream.runs).toEqual(1);
    });
  });

  it('keeps the same key of two workspaces apart', async () => {
    await withNodes(['n1'], async (nodes) => {
      const key = homedKey('n1', 'a');
      expect(await ask(nodes.serve('n1'), post(key, 'w1'))).toEqual('201 booked 1 w1');
      expect(await ask(nodes.serve('n1'), post(key, 'w2'))).toEqual('201 booked 2 w2');
      expect(await ask(nodes.serve('n1'), post(key, 'w1'), 'other')).toEqual(
        'not-run/key-body-mismatch',
      );
    });
  });

  it('gives a large answer whole once, and tells a retry that it was not kept', async () => {
    await withNodes(['n1'], async (nodes, upstream) => {
      Object.assign(upstream, { answer: 'x'.repeat(500) });
      const call = post(homedKey('n1', 'a'));
      expect((await ask(nodes.serve('n1'), call)).length).toEqual(4 + 500 + 5);
      expect(await ask(nodes.serve('n1'), call)).toEqual('unknown/answer-not-kept');
      expect(upstream.runs).toEqual(1);
    });
  });

  it('goes on with the run of a caller that has left, for its retry', async () => {
    await withNodes(['n1'], async (nodes, upstream) => {
      const release = upstream.hold();
      const call = post(homedKey('n1', 'a'));
      const gone = new AbortController();
      const first = nodes.serve('n1')(call, Readable.from([Buffer.from('x')]), gone.signal);
      await new Promise(setImmediate);
      gone.abort();
      expect(await textOf(first)).toEqual('unknown/in-flight');
      const retry = ask(nodes.serve('n1'), call);
      release();
      expect(await retry).toEqual('201 booked 1 w1');
    });
  });

  it('refuses at a node that is not the home without saying not-run', async () => {
    await withNodes(['n1', 'n2'], async (nodes) => {
      const answer = await ask(nodes.serve('n2'), post(homedKey('n1', 'a')));
      expect(answer).toEqual('unknown/home-unreachable');
    });
  });
});

describe('at most once: planned stop', () => {
  it('runs and replays old keys at the heir, through lost frames and lost acks', async () => {
    await withNodes(['n1', 'n2'], async (nodes, upstream) => {
      const [before, inFlight, after] = ['a', 'b', 'c'].map((token) => post(homedKey('n1', token)));
      await ask(nodes.serve('n1'), before!);
      const release = upstream.hold();
      const running = ask(nodes.serve('n1'), inFlight!);
      await new Promise(setImmediate);
      nodes.lose(3);
      const stopped = nodes.handover('n1').handOver(clock.now() + 5000);
      const retry = ask(nodes.serve('n1'), inFlight!);
      const fresh = ask(nodes.serve('n1'), after!);
      release();
      expect(await running).toEqual('201 booked 2 w1');
      expect(await retry).toEqual('201 booked 2 w1');
      expect(await fresh).toEqual('201 booked 3 w1');
      expect(await stopped).toEqual(true);
      expect(await ask(nodes.serve('n2'), before!)).toEqual('201 booked 1 w1');
      expect(await ask(nodes.serve('n2'), inFlight!)).toEqual('201 booked 2 w1');
      expect(nodes.handover('n2').holderOf('n1')?.incarnation).toEqual('n2');
      expect(upstream.runs).toEqual(3);
    });
  });

  const limits = { ...DEFAULT_LEDGER_LIMITS, startWindow: 1000, retention: 5000 };
  const call = (key: string): HomesEvent => ({
    kind: 'call',
    call: {
      callId: key,
      home: 'n1',
      ref: { workspace: 'w1', key, startBefore: 1000 },
      fingerprint: 'f',
      deadline: 900,
    },
  });
  const framesOf = (effects: readonly HomesEffect[]): readonly HandoverMessage[] =>
    effects.flatMap((effect) => (effect.kind === 'send' ? [effect.message] : []));
  const stopped = (holder: Homes): readonly HandoverMessage[] =>
    framesOf(holder.apply({ kind: 'stop', successor: identity('n2') }, 10));
  const kinds = (effects: readonly HomesEffect[]): readonly string[] =>
    effects.map((effect) => (effect.kind === 'refuse' ? effect.outcome.reason : effect.kind));

  it('is not taken by another process at the address of the heir', () => {
    const holder = new Homes(identity('n1'), limits, 0);
    const other = new Homes(identity('n3'), limits, 0);
    stopped(holder).forEach((message) => other.apply({ kind: 'message', message }, 20));
    expect(other.has('n1')).toEqual(false);
    expect(kinds(other.apply(call('a'), 30))).toEqual(['not-here']);
  });

  it('names one heir only, and starts nothing after', () => {
    const holder = new Homes(identity('n1'), limits, 0);
    stopped(holder);
    expect(holder.apply({ kind: 'stop', successor: identity('n3') }, 11)).toEqual([]);
    expect(holder.apply(call('a'), 12)).toEqual([]);
    const ack = { kind: 'ack', home: 'n1', heir: 'n2', seq: 0 } as const;
    expect(kinds(holder.apply({ kind: 'message', message: ack }, 13))).toEqual(['forward']);
  });

  it('waits for the whole ledger, and gives up when its holder dies on the way', () => {
    const holder = new Homes(identity('n1'), limits, 0);
    for (let i = 0; i < 300; i++) holder.apply(call(`k${i}`), 1);
    const heir = new Homes(identity('n2'), limits, 0);
    const [first, second] = stopped(holder);
    heir.apply({ kind: 'message', message: second! }, 20);
    expect(heir.apply(call('new'), 21)).toEqual([]);
    const dead = heir.apply({ kind: 'member-dead', incarnation: 'n1' }, 22);
    expect(kinds(dead)).toEqual(['home-gone']);
    heir.apply({ kind: 'message', message: first! }, 23);
    expect(kinds(heir.apply(call('k7'), 24))).toEqual(['home-gone']);
    expect(kinds(heir.apply(call('new'), 25))).toEqual(['run']);
  });

  it('keeps what its holder refused, and knows what expired before the handover', () => {
    const holder = new Homes(identity('n1'), limits, 0);
    holder.apply(call('a'), 1);
    const id = entryId('w1', 'a');
    holder.apply({ kind: 'settle', home: 'n1', id, settlement: notRunOutcome('shed') }, 2);
    const heir = new Homes(identity('n2'), limits, 0);
    const late = framesOf(holder.apply({ kind: 'stop', successor: identity('n2') }, 1000));
    late.forEach((message) => heir.apply({ kind: 'message', message }, 5));
    expect(kinds(heir.apply(call('a'), 6))).toEqual(['shed']);
    expect(kinds(heir.apply(call('b'), 7))).toEqual(['key-expired']);
  });
});

describe('at most once: bare keys', () => {
  const key = { kind: 'bare', key: 'order-7' } as const;
  const stream = claimStream(claimRangeOf(key.key));

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
        self: identity(name),
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
    tasks.forEach((task) => task.updateMembers(names.map(member)));
    const closeAll = (): void => tasks.forEach((task) => task.close());
    await test([...tasks.values()], upstream, log).finally(closeAll);
  };
  const wait = (call: Call, millis: number): Call => ({ ...call, deadline: clock.now() + millis });

  it('runs once when two nodes take themselves for the claimant', async () => {
    await withClaimants(['n1', 'n2', 'n3'], async (claimants, upstream) => {
      const copies = claimants.map((task) => ask(task.serve, post(key)));
      expect(await Promise.all(copies)).toEqual(Array(3).fill('201 booked 1 w1'));
      expect(upstream.runs).toEqual(1);
    });
  });

  it('reads its claim back when the answer to the append is lost', async () => {
    await withClaimants(['n1'], async ([task], upstream, log) => {
      Object.assign(log, { loseAnswers: 2 });
      expect(await ask(task!.serve, post(key))).toEqual('201 booked 1 w1');
      expect(upstream.runs).toEqual(1);
    });
  });

  it('neither runs a claim that turns up late nor says not-run of it', async () => {
    await withClaimants(['n1', 'n2'], async ([one, two], upstream, log) => {
      await ask(one!.serve, post({ kind: 'bare', key: 'opens the ranges' }));
      const { runs } = upstream;
      Object.assign(log, { holdAppends: 100, heldFor: 300 });
      const answer = await ask(one!.serve, wait(post(key), 100));
      expect(answer).toEqual('unknown/log-unavailable');
      Object.assign(log, { holdAppends: 0 });
      while (log.stream(stream).next < 2) await new Promise(setImmediate);
      expect(upstream.runs).toEqual(runs);
      expect(await ask(two!.serve, post(key))).toEqual(`201 booked ${runs + 1} w1`);
      expect(await ask(one!.serve, post(key))).toEqual(`201 booked ${runs + 1} w1`);
    });
  });

  it('says at once that the log is away, and runs the same key when it is back', async () => {
    await withClaimants(['n1'], async ([task], upstream, log) => {
      await ask(task!.serve, post({ kind: 'bare', key: 'opens the ranges' }));
      Object.assign(log, { outage: true });
      expect(await ask(task!.serve, wait(post(key), 400))).toEqual('unknown/log-unavailable');
      Object.assign(log, { outage: false });
      const again = async (): Promise<string> => {
        await setTimeout(50);
        const answer = await ask(task!.serve, post(key));
        return answer === 'unknown/log-unavailable' ? again() : answer;
      };
      expect(await again()).toEqual('201 booked 2 w1');
      expect(upstream.runs).toEqual(2);
    });
  });
});
