import { expect } from 'earl';
import { afterEach, beforeEach, describe, it, mock } from 'node:test';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

import { headerConventions, parseSettings } from '../../platform';
import { CrashExchange } from '../../src/gateway/peers/crash-exchange';
import { decodeCrashMessage } from '../../src/gateway/peers/crash-message';
import type { CallerRequest } from '../../src/gateway/request/caller-request';
import type { Member } from '../../src/model';

import { recordingTelemetry, settingsText } from './harness';

/** Time within which every host must hold a request back after its third crash. */
const STABILITY_WINDOW_MS = 3000;
const STEP_MS = 100;
const HOST_COUNT = 20;
/** Share of datagrams that are lost, in percent. */
const LOSS_PERCENT = 30;

const requestOf = (id: string, target: string): CallerRequest => ({
  id,
  method: 'GET',
  target,
  host: 'shop.example',
  rawHeaders: ['X-Redwingmount-Request-Id', id],
  body: Buffer.alloc(0),
  arrivedAt: 0,
  readAt: 0,
  deadline: 1000,
  signal: new AbortController().signal,
  caller: { kind: 'caller', id: 'c' },
});

const memberOf = (index: number): Member => ({
  incarnation: `n${index}`,
  dataCentre: 'takoradi',
  address: `127.0.0.${index + 1}`,
  callerPort: 1,
  peerPort: 1,
  state: 'alive',
});

/** Hosts in virtual time whose datagrams may be lost. */
class ExchangeFleet {
  private now = 0;

  private readonly rng = xoroshiro128plus(26);

  readonly hosts: CrashExchange[] = [];

  constructor(
    count: number,
    private readonly lossPercent: number,
  ) {
    for (let i = 0; i < count; i++) this.start(i);
    this.introduce();
  }

  /** Starts a host, which knows nothing, in place of an earlier one. */
  start(index: number): void {
    const { address } = memberOf(index);
    const settings = parseSettings(
      'test',
      settingsText(9000, 9000).replaceAll('"127.0.0.1', `"${address}`),
    ).unsafeCoerce();
    const context = {
      settings,
      clock: { now: () => this.now, wall: () => this.now },
      telemetry: recordingTelemetry(),
      headerConventions,
      random: () => uniformInt(this.rng, 0, 9999) / 10_000,
    };
    this.hosts[index]?.close();
    this.hosts[index] = new CrashExchange(context, {
      send: (to, _topic, body) => {
        if (uniformInt(this.rng, 0, 99) < this.lossPercent) return;
        const at = Number(to.address.split('.')[3]) - 1;
        this.hosts[at]?.onMessage(JSON.parse(JSON.stringify(body)));
      },
    });
  }

  introduce(): void {
    const members = this.hosts.map((_, i) => memberOf(i));
    this.hosts.forEach((host) => host.onMembers(members));
  }

  advance(millis: number): void {
    for (const until = this.now + millis; this.now < until;) {
      this.now += STEP_MS;
      mock.timers.tick(STEP_MS);
    }
  }

  crash(host: number, target: string, upstream: string): void {
    this.hosts[host]?.recordCrash(requestOf(`${upstream}-${host}`, target), {
      id: upstream,
      born: 1,
    });
  }

  holders(target: string): number {
    return this.hosts.filter((host) => host.standingOf(requestOf('r', target)).kind === 'held')
      .length;
  }

  close(): void {
    this.hosts.forEach((host) => host.close());
  }
}

describe('what gateways tell each other of requests that crash upstreams', () => {
  let fleet: ExchangeFleet;
  beforeEach(() => {
    mock.timers.enable({ apis: ['setInterval'] });
    fleet = new ExchangeFleet(HOST_COUNT, LOSS_PERCENT);
  });
  afterEach(() => {
    fleet.close();
    mock.timers.reset();
  });

  it('reaches all hosts within the stability window though datagrams are lost', () => {
    ['a', 'b', 'c'].forEach((upstream, i) => fleet.crash(i, '/crash', upstream));
    fleet.advance(STABILITY_WINDOW_MS);
    expect(fleet.holders('/crash')).toEqual(HOST_COUNT);
    expect(fleet.holders('/other')).toEqual(0);
  });

  it('reaches hosts that start later, one after the other', () => {
    ['a', 'b', 'c'].forEach((upstream, i) => fleet.crash(i, '/crash', upstream));
    for (let i = 0; i < HOST_COUNT; i++) {
      fleet.advance(STABILITY_WINDOW_MS);
      fleet.start(i);
      fleet.introduce();
    }
    fleet.advance(STABILITY_WINDOW_MS);
    expect(fleet.holders('/crash')).toEqual(HOST_COUNT);
  });

  it('releases a request at all hosts once one of them got a complete answer', () => {
    ['a', 'b', 'c'].forEach((upstream, i) => fleet.crash(i, '/popular', upstream));
    fleet.advance(STABILITY_WINDOW_MS);
    fleet.hosts[5]?.recordAnswer(requestOf('late', '/popular'));
    fleet.advance(STABILITY_WINDOW_MS);
    expect(fleet.holders('/popular')).toEqual(0);
  });

  it('is ignored where it is malformed', () => {
    const crash = { id: 'a', born: 1, ago: 5 };
    const told = { kind: 'told', requests: [{ digest: 'ab12cd34', crashes: [crash] }] };
    expect(decodeCrashMessage(told) !== undefined).toEqual(true);
    [
      undefined,
      'told',
      { kind: 'told' },
      { kind: 'wanted', from: { address: 5 } },
      { ...told, requests: [{ digest: 'not hex', crashes: [] }] },
      { ...told, requests: [{ digest: 'ab12cd34', crashes: [{ ...crash, ago: -1 }] }] },
      { ...told, requests: [{ digest: 'ab12cd34', crashes: [{ ...crash, born: 1.5 }] }] },
      { ...told, requests: [{ digest: 'ab12cd34', crashes: [], answeredAgo: Infinity }] },
    ].forEach((body) => expect(decodeCrashMessage(body)).toEqual(undefined));
  });
});
