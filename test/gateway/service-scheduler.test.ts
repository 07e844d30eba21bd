import { expect } from 'earl';
import { describe, it } from 'node:test';

import { ServiceScheduler } from '../../src/gateway/scheduling/service-scheduler';
import type { QueueablePlacement } from '../../src/gateway/scheduling/queued-placement';
import type { GatewayUpstream } from '../../src/model';
import { headerConventions, parseSettings } from '../../platform';

import { recordingTelemetry, settingsText } from './harness';

const upstream: GatewayUpstream = {
  id: 'u',
  service: 's',
  endpoint: { address: '127.0.0.1', port: 1 },
  dataCentre: 'takoradi',
  slots: 2,
  state: 'ready',
  born: 1,
  reportSequence: 1,
  warmedUpAt: 0,
};

const NOW = 5000;

const createScheduler = (): ServiceScheduler => {
  const context = {
    settings: parseSettings('test', settingsText(8000, 9000)).unsafeCoerce(),
    clock: { now: () => NOW, wall: () => 0 },
    telemetry: recordingTelemetry(),
    headerConventions,
    random: () => 0,
  };
  return new ServiceScheduler('s', context, () => true);
};

const requestWith = (signal: AbortSignal): QueueablePlacement => ({
  retryable: true,
  tried: new Set<string>(),
  meanBytes: 100,
  meanLatency: 100,
  objective: 1000,
  remaining: 3000,
  lastResort: false,
  priority: 0,
  arrivedAt: NOW,
  startBy: 6000,
  signal,
  route: 'r',
});

describe('the scheduler of a service', () => {
  /** Guards against a request that waits, or takes a slot, although its caller has left. */
  it('neither places nor queues a request whose caller has left', async () => {
    const scheduler = createScheduler();
    const left = requestWith(AbortSignal.abort());
    scheduler.put({ ...upstream, slots: 1 });
    expect(await scheduler.place(left, 'left')).toEqual({ kind: 'cancelled' });
    const [stats] = scheduler.balancer.all();
    expect(stats?.lastSentAt).toEqual(Number.NEGATIVE_INFINITY);
    while (scheduler.placeNow(requestWith(new AbortController().signal), `r-${stats?.inFlight}`));
    expect(await scheduler.place(left, 'left')).toEqual({ kind: 'cancelled' });
    expect(scheduler.waitingCount).toEqual(0);
  });

  it('records no request at an upstream that is not accepted', () => {
    const scheduler = createScheduler();
    scheduler.put(upstream);
    const request = requestWith(new AbortController().signal);
    expect(scheduler.placeNow(request, 'hedge', () => false)).toEqual(undefined);
    const [stats] = scheduler.balancer.all();
    expect(stats?.lastSentAt).toEqual(Number.NEGATIVE_INFINITY);
    expect(stats?.inFlight).toEqual(0);
  });
});
