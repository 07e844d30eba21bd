import { expect } from 'earl';
import { afterEach, beforeEach, describe, it, mock } from 'node:test';

import { headerConventions, parseSettings } from '../../platform';
import { PathMonitor } from '../../src/gateway/sending/path-monitor';
import type { Endpoint } from '../../src/model';

import { recordingTelemetry, settingsText } from './harness';

/** Time in milliseconds that a connection to an upstream behind a cut takes to fail. */
const CONNECT_TIMEOUT_MS = 200;
const STEP_MS = 10;
const SERVICES: readonly (readonly Endpoint[])[] = ['10.0.0', '10.0.1'].map((net) =>
  [1, 2, 3].map((host) => ({ address: `${net}.${host}`, port: 1 })),
);

/** A monitor in virtual time; upstreams are silent behind a cut. */
class MonitoredPath {
  now = 0;

  isSilent = false;

  /** Time by which connections end late, as the process does not run. */
  lag = 0;

  readonly tried: Endpoint[] = [];

  readonly changes: boolean[] = [];

  readonly monitor = new PathMonitor(
    {
      settings: parseSettings('test', settingsText(9000, 9000)).unsafeCoerce(),
      clock: { now: () => this.now, wall: () => this.now },
      telemetry: recordingTelemetry(),
      headerConventions,
      random: () => 0.5,
    },
    {
      endpoints: () => SERVICES,
      onChange: (isCut) => this.changes.push(isCut),
      connects: (endpoint) => this.connect(endpoint),
    },
  );

  async advance(millis: number): Promise<void> {
    for (const until = this.now + millis; this.now < until;) {
      this.now += STEP_MS;
      mock.timers.tick(STEP_MS);
      for (let i = 0; i < 10; i++) await Promise.resolve();
    }
  }

  private connect(endpoint: Endpoint): Promise<boolean> {
    this.tried.push(endpoint);
    if (!this.isSilent) return Promise.resolve(true);
    return new Promise((resolve) => {
      setTimeout(() => resolve(false), CONNECT_TIMEOUT_MS + this.lag);
    });
  }
}

describe('the monitor of a gateway’s own path', () => {
  let path: MonitoredPath;
  beforeEach(() => {
    mock.timers.enable({ apis: ['setTimeout', 'setInterval'] });
    path = new MonitoredPath();
  });
  afterEach(() => {
    path.monitor.close();
    mock.timers.reset();
  });

  it('finds a cut within one time-out after a connection failed, and its end within a second', async () => {
    path.isSilent = true;
    path.monitor.recordFailedConnection();
    await path.advance(CONNECT_TIMEOUT_MS + STEP_MS);
    expect(path.monitor.isCut).toEqual(true);
    await path.advance(2000);
    path.isSilent = false;
    await path.advance(1000);
    expect(path.changes).toEqual([true, false]);
  });

  it('tries upstreams of several services, and finds no cut where one of them answers', async () => {
    path.monitor.recordFailedConnection();
    await path.advance(STEP_MS);
    expect(new Set(path.tried.map(({ address }) => address.slice(0, 6))).size).toEqual(2);
    expect(path.changes).toEqual([]);
  });

  it('proves nothing by a check that ends late because the process did not run', async () => {
    path.isSilent = true;
    path.lag = 500;
    path.monitor.recordFailedConnection();
    await path.advance(1000);
    expect(path.monitor.isCut).toEqual(false);
  });

  it('puts a missing answer down to the path if all upstreams are silent', async () => {
    path.isSilent = true;
    const confirmed = path.monitor.confirm();
    await path.advance(CONNECT_TIMEOUT_MS + STEP_MS);
    expect(await confirmed).toEqual(false);
  });

  it('checks nothing for a missing answer while other answers come', async () => {
    path.monitor.recordContact();
    expect(await path.monitor.confirm()).toEqual(true);
    expect(path.tried.length).toEqual(0);
  });
});
