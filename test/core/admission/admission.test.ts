import { expect } from 'earl';
import { describe, it } from 'node:test';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

import {
  Admission,
  type AdmissionEffect,
  type AdmissionEvent,
  type UpstreamCapacity,
} from '../../../src/core';
import { createAttemptQueue } from '../../../src/core/admission/admission';

type Offered = Extract<AdmissionEvent, { kind: 'offered' }>;

const FAR_DEADLINE_MS = 1_000_000;

const offered = (callId: string, more: Partial<Offered> = {}): Offered => ({
  kind: 'offered',
  callId,
  workspace: 'w',
  weight: 1,
  deadline: FAR_DEADLINE_MS,
  exclude: [],
  ...more,
});

const upstream = (id: string, slots = 2, share = 1): UpstreamCapacity => ({ id, slots, share });

const admissionOf = (upstreams: readonly UpstreamCapacity[], queuePerSlot = 4): Admission => {
  const admission = new Admission({ queuePerSlot, rng: xoroshiro128plus(7) });
  admission.apply({ kind: 'upstreams-changed', upstreams }, 0);
  return admission;
};

const released = (id: string, latency: number): AdmissionEvent => ({
  kind: 'released',
  upstream: id,
  latency,
});

const startsOf = (effects: readonly AdmissionEffect[]): readonly string[] =>
  effects.flatMap((effect) => (effect.kind === 'start' ? [effect.callId] : []));

const refusalsOf = (effects: readonly AdmissionEffect[]): readonly string[] =>
  effects.flatMap((effect) =>
    effect.kind === 'refuse' ? [`${effect.callId} ${effect.outcome.reason}`] : [],
  );

/** Runs `calls` in sequence, each for `latency` ms; returns the time after the last. */
const warmUp = (admission: Admission, id: string, latency: number, calls = 40): number => {
  for (let call = 0; call < calls; call++) {
    admission.apply(offered(`train-${call}`), call * latency);
    admission.apply(released(id, latency), (call + 1) * latency);
  }
  return calls * latency;
};

describe('slots', () => {
  it('are filled up to the number in the inventory', () => {
    const admission = admissionOf([upstream('a'), upstream('b')]);
    const effects = ['1', '2', '3', '4', '5'].flatMap((id) => admission.apply(offered(id), 0));
    expect(startsOf(effects)).toEqual(['1', '2', '3', '4']);
    expect([admission.inFlight('a'), admission.inFlight('b'), admission.queued]).toEqual([2, 2, 1]);
  });

  it('stay held when an upstream is removed and listed again', () => {
    const admission = admissionOf([upstream('a', 1)]);
    admission.apply(offered('1'), 0);
    admission.apply({ kind: 'upstreams-changed', upstreams: [upstream('b', 1)] }, 1);
    admission.apply({ kind: 'upstreams-changed', upstreams: [upstream('a', 1)] }, 2);
    expect(startsOf(admission.apply(offered('2'), 3))).toEqual([]);
    expect(startsOf(admission.apply(released('a', 4), 4))).toEqual(['2']);
  });

  it('ignore the release of a slot that is not held', () => {
    const admission = admissionOf([upstream('a', 1)]);
    admission.apply(released('a', 4), 0);
    const effects = ['1', '2'].flatMap((id) => admission.apply(offered(id), 0));
    expect(startsOf(effects)).toEqual(['1']);
  });

  it('are limited by the share of the upstream, and closed at share 0', () => {
    const admission = admissionOf([upstream('a', 6, 0.2), upstream('b', 6, 0)]);
    ['1', '2', '3'].forEach((id) => admission.apply(offered(id), 0));
    expect([admission.inFlight('a'), admission.inFlight('b')]).toEqual([1, 0]);
  });

  it('prefer the upstream that answers faster', () => {
    const admission = admissionOf([upstream('slow', 100), upstream('fast', 100)]);
    for (let call = 0; call < 50; call++) {
      admission.apply(offered(`${call}`), call);
      ['slow', 'fast'].forEach((id) =>
        admission.apply(released(id, id === 'slow' ? 100 : 5), call),
      );
    }
    for (let call = 0; call < 80; call++) admission.apply(offered(`n${call}`), 100);
    expect(admission.inFlight('fast') > 2 * admission.inFlight('slow')).toEqual(true);
  });
});

describe('the queue', () => {
  it('starts a retried call before newer ones, and never on an upstream that tried it', () => {
    const admission = admissionOf([upstream('a', 1), upstream('b', 1)]);
    admission.apply(offered('1'), 0);
    admission.apply(offered('2'), 0);
    admission.apply(offered('new'), 1);
    admission.apply(offered('again', { exclude: ['a'] }), 1);
    expect(startsOf(admission.apply(released('b', 2), 2))).toEqual(['again']);
    expect(startsOf(admission.apply(released('a', 2), 2))).toEqual(['new']);
  });

  it('starts calls of other workspaces ahead of one that may not use the free slot', () => {
    const admission = admissionOf([upstream('a', 1), upstream('b', 1)]);
    admission.apply(offered('1'), 0);
    admission.apply(offered('2'), 0);
    admission.apply(offered('again', { exclude: ['a'], workspace: 'v' }), 1);
    admission.apply(offered('new'), 1);
    expect(startsOf(admission.apply(released('a', 2), 2))).toEqual(['new']);
    expect(admission.queued).toEqual(1);
  });

  it('starts calls of the same workspace ahead of one that may not use the free slot', () => {
    const admission = admissionOf([upstream('a', 1), upstream('b', 1)]);
    admission.apply(offered('1'), 0);
    admission.apply(offered('2'), 0);
    admission.apply(offered('again', { exclude: ['a'] }), 1);
    admission.apply(offered('new'), 1);
    expect(startsOf(admission.apply(released('a', 2), 2))).toEqual(['new']);
    expect(startsOf(admission.apply(released('b', 2), 2))).toEqual(['again']);
  });

  it('refuses at once a call that cannot start in time, with a retry-after time', () => {
    const admission = admissionOf([upstream('a', 1)], 100);
    const now = warmUp(admission, 'a', 100);
    admission.apply(offered('running'), now);
    const soon = offered('soon', { deadline: now + 300 });
    expect(admission.apply(soon, now)).toEqual([]);
    const late = offered('late', { deadline: now + 300 });
    const [effect] = admission.apply(late, now);
    expect(effect?.kind === 'refuse' && effect.outcome.reason).toEqual('wait-exceeds-deadline');
    expect(effect?.kind === 'refuse' && effect.outcome.retryAfter >= 50).toEqual(true);
  });

  it('refuses queued calls before their deadline when no slot is released', () => {
    const admission = admissionOf([upstream('a', 1)], 100);
    const now = warmUp(admission, 'a', 100);
    admission.apply(offered('hung'), now);
    admission.apply(offered('queued', { deadline: now + 1000 }), now);
    const refusedAt = Array.from({ length: 100 }, (_, tick) => now + 10 * tick).find(
      (at) => refusalsOf(admission.apply({ kind: 'tick' }, at)).length > 0,
    );
    expect(refusedAt).not.toEqual(undefined);
    expect((refusedAt ?? FAR_DEADLINE_MS) < now + 700).toEqual(true);
  });

  it('is emptied at once when all upstreams are removed', () => {
    const admission = admissionOf([upstream('a', 1)]);
    admission.apply(offered('running'), 0);
    admission.apply(offered('queued'), 0);
    const effects = admission.apply({ kind: 'upstreams-changed', upstreams: [] }, 1);
    expect(refusalsOf(effects)).toEqual(['queued no-upstream']);
    expect(refusalsOf(admission.apply(offered('next'), 1))).toEqual(['next no-upstream']);
  });

  it('drops a withdrawn call', () => {
    const admission = admissionOf([upstream('a', 1)]);
    admission.apply(offered('running'), 0);
    admission.apply(offered('gone'), 0);
    admission.apply({ kind: 'withdrawn', callId: 'gone' }, 0);
    expect(admission.apply(released('a', 1), 1)).toEqual([]);
  });

  it('refuses a hedge when there is no free slot', () => {
    const admission = admissionOf([upstream('a', 1), upstream('b', 1)]);
    admission.apply(offered('1'), 0);
    admission.apply(offered('2'), 0);
    const hedge = offered('hedge', { exclude: ['a'], mayWait: false });
    expect(refusalsOf(admission.apply(hedge, 0))).toEqual(['hedge queue-full']);
  });
});

describe('fairness', () => {
  const fill = (admission: Admission): void => {
    admission.apply(offered('running'), 0);
    ['1', '2', '3', '4'].forEach((id) => admission.apply(offered(id, { workspace: 'big' }), 0));
  };

  it('displaces a call of the largest workspace for one within its share when full', () => {
    const admission = admissionOf([upstream('a', 1)]);
    fill(admission);
    const small = offered('small', { workspace: 'small' });
    expect(refusalsOf(admission.apply(small, 0))).toEqual(['4 workspace-over-share']);
    const more = offered('5', { workspace: 'big' });
    expect(refusalsOf(admission.apply(more, 0))).toEqual(['5 workspace-over-share']);
  });

  it('reserves the last part of the queue for workspaces within their share', () => {
    const admission = admissionOf([upstream('a', 1)], 8);
    admission.apply(offered('running'), 0);
    admission.apply(offered('s1', { workspace: 'small' }), 0);
    const refusals = ['1', '2', '3', '4', '5', '6'].flatMap((id) =>
      refusalsOf(admission.apply(offered(id, { workspace: 'big' }), 0)),
    );
    expect(refusals).toEqual(['6 workspace-over-share']);
    expect(refusalsOf(admission.apply(offered('s2', { workspace: 'small' }), 0))).toEqual([]);
  });

  it('predicts starts from the measured share of a flow, even when it is alone in the queue', () => {
    const queue = createAttemptQueue();
    const add = (workspace: string, callId: string): void =>
      queue.add({ offer: offered(callId, { workspace }), startBy: FAR_DEADLINE_MS });
    for (let call = 0; call < 50; call++) add('big', `big-${call}`);
    for (let round = 0; round < 40; round++) {
      for (let other = 0; other < 9; other++) add(`w${other}`, `w${other}-${round}`);
      for (let start = 0; start < 10; start++) queue.take(() => true);
    }
    expect([queue.length('big'), queue.size]).toEqual([10, 10]);
    const starts = queue.startsUntil('big', 1, 9);
    expect(starts > 80 && starts < 120).toEqual(true);
  });

  it('reports a full queue when only one workspace is queued', () => {
    const admission = admissionOf([upstream('a', 1)]);
    fill(admission);
    const more = offered('5', { workspace: 'big' });
    expect(refusalsOf(admission.apply(more, 0))).toEqual(['5 queue-full']);
  });

  it('starts calls of two workspaces in proportion to their weights', () => {
    const admission = admissionOf([upstream('a', 1)], 100);
    admission.apply(offered('running'), 0);
    for (let call = 0; call < 40; call++) {
      admission.apply(offered(`x${call}`, { workspace: 'x', weight: 3 }), 0);
      admission.apply(offered(`y${call}`, { workspace: 'y', weight: 1 }), 0);
    }
    const starts = Array.from({ length: 40 }, () =>
      startsOf(admission.apply(released('a', 0), 0)),
    ).flat();
    expect(starts.filter((id) => id.startsWith('x')).length).toEqual(30);
  });
});
