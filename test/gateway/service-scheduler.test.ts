import { expect } from 'earl';
import { describe, it } from 'node:test';

import { ServiceScheduler } from '../../src/gateway/service-scheduler';
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

describe('the scheduler of a service', () => {
  it('records no request at an upstream that is not accepted', () => {
    const context = {
      settings: parseSettings('test', settingsText(8000, 9000)).unsafeCoerce(),
      clock: { now: () => 5000, wall: () => 0 },
      telemetry: recordingTelemetry(),
      headerConventions,
      random: () => 0,
    };
    const scheduler = new ServiceScheduler('s', context, () => true);
    scheduler.put(upstream);
    const request = {
      retryable: true,
      tried: new Set<string>(),
      meanBytes: 100,
      meanLatency: 100,
      objective: 1000,
      remaining: 3000,
      lastResort: false,
      priority: 0,
      arrivedAt: 5000,
      startBy: 6000,
      signal: new AbortController().signal,
      route: 'r',
    };
    expect(scheduler.placeNow(request, 'hedge', () => false)).toEqual(undefined);
    const [stats] = scheduler.balancer.all();
    expect(stats?.lastSentAt).toEqual(Number.NEGATIVE_INFINITY);
    expect(stats?.inFlight).toEqual(0);
  });
});
