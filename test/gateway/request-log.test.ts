import { expect } from 'earl';
import { describe, it } from 'node:test';

import { RequestLog } from '../../src/gateway/deciding/request-log';

import { recordingTelemetry } from './harness';

describe('the log of requests', () => {
  it('limits the lines on successes, reports how many it left out, and logs all failures', () => {
    const telemetry = recordingTelemetry();
    let now = 0;
    const log = new RequestLog({ now: () => now, wall: () => 0 }, telemetry);
    for (let i = 0; i < 500; i++) log.logRoutine('request', { i });
    for (let i = 0; i < 500; i++) log.logNotable('request', { failed: i });
    now = 1000;
    log.logRoutine('request', {});
    const routine = telemetry.events.filter(({ fields }) => 'i' in fields);
    expect(routine.length).toEqual(20);
    expect(telemetry.events.filter(({ fields }) => 'failed' in fields).length).toEqual(500);
    expect(telemetry.events.find(({ name }) => name === 'served-left-out')?.fields).toEqual({
      requests: 480,
    });
  });
});
