/** Hosts that share workspaces' quotas in virtual time, over a network that loses datagrams. */
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

import {
  HostQuotas,
  quotaTermsOf,
  type QuotaMember,
  type QuotaMessage,
  type QuotaPeer,
} from '../../src/core/quota';
import { encodeDatagram } from '../../src/gateway/peers/datagram';
import { decodeQuotaMessage, encodeQuotaMessage } from '../../src/gateway/peers/quota-message';
import type { GatewayBounds, Instant, Millis, WorkspaceQuota } from '../../src/model';

import { QuotaTally } from './quota-tally';
import { VirtualTime } from './virtual-time';

const UNIT = 1_000_000;
const TICK_MS = 250;
const CONTACT_MS = 200;
const POSITIONS = [1_000_000, 1_000_000] as const;
const MAX_TOKEN_WAIT_MS = 80;

/** Time after which a host without a path to the store serves no request with a key. */
const KEYS_STALE_RATIO = 0.8;

/** A host of the fleet, and the members as it sees them. */
interface SimulatedHost {
  readonly place: number;
  readonly member: QuotaMember;
  readonly quotas: HostQuotas;
  readonly view: Map<string, QuotaMember>;
  isAlive: boolean;
}

/** Conditions of a run. */
export interface FleetConditions {
  readonly seed: number;
  readonly hostCount: number;
  readonly dataCentres: readonly string[];
  readonly bounds: Pick<
    GatewayBounds,
    'quotaWindow' | 'quotaExcessRatio' | 'quotaExcessCount' | 'keyRevocationTime'
  >;
  /** Share of the datagrams that are lost, that come twice, and that come up to 400 ms late. */
  readonly lossRatio?: number;
  readonly doubledRatio?: number;
  readonly lateRatio?: number;
}

export const USUAL_BOUNDS: FleetConditions['bounds'] = {
  quotaWindow: 5000,
  quotaExcessRatio: 0.1,
  quotaExcessCount: 20,
  keyRevocationTime: 5000,
};

/** Hosts that share workspaces' quotas; started, stopped and cut off by the test. */
export class QuotaFleet {
  readonly time = new VirtualTime();

  readonly quotas = new Map<string, WorkspaceQuota>();

  readonly tallies = new Map<string, QuotaTally>();

  readonly hosts: (SimulatedHost | undefined)[] = [];

  datagramCount = 0;

  byteCount = 0;

  farByteCount = 0;

  largestDatagram = 0;

  /** Hosts cut off from their peers, since when; `hasStore` if they still reach the store. */
  private readonly cutOff = new Map<
    number,
    { readonly since: Instant; readonly hasStore: boolean }
  >();

  /** When a host that has something due is called next. */
  private readonly wakeTimes = new Map<SimulatedHost, Instant>();

  private readonly rng;

  private lastIncarnation = 0;

  constructor(private readonly conditions: FleetConditions) {
    this.rng = xoroshiro128plus(conditions.seed);
    for (let i = 0; i < conditions.hostCount; i++) this.start(i, 0);
    this.contact();
  }

  random(): number {
    return uniformInt(this.rng, 0, UNIT - 1) / UNIT;
  }

  between(least: number, most: number): number {
    return least + this.random() * (most - least);
  }

  /** Starts a process at a place; others learn of it within `learnTime`. */
  start(place: number, learnTime = 1500): void {
    const { dataCentres, bounds } = this.conditions;
    this.lastIncarnation += 1;
    const incarnation = `i${this.lastIncarnation}`;
    const member: QuotaMember = {
      incarnation,
      address: `10.0.${place >> 8}.${place & 255}`,
      peerPort: 7000,
      datagramVersion: 3,
      dataCentre: dataCentres[place % Math.max(1, dataCentres.length)] ?? 'only',
      capacity: 100 + (place % 7) * 60,
      state: 'alive',
    };
    const { now } = this.time;
    const quotas = new HostQuotas(
      member,
      quotaTermsOf(dataCentres, bounds),
      {
        quotaOf: (workspace) => this.quotas.get(workspace),
        send: (to, message) => this.deliver(place, to, message),
        onEvent: () => {},
      },
      now,
      Math.floor(this.between(0, 2 ** 31)),
    );
    const host: SimulatedHost = {
      place,
      member,
      quotas,
      view: new Map([[incarnation, member]]),
      isAlive: true,
    };
    this.hosts[place] = host;
    this.publish(host, member, learnTime);
    quotas.onMembers([member], now);
    this.others(place).forEach((peer) =>
      this.learn(host, peer.member, this.between(0, Math.min(learnTime, 600))),
    );
    this.tick(host);
  }

  /** Ends the process at a place without notice; others notice within 1 to 3 seconds. */
  kill(place: number): void {
    const host = this.hosts[place];
    if (!host) return;
    host.isAlive = false;
    this.hosts[place] = undefined;
    this.others(place).forEach((peer) => {
      this.time.after(this.between(1000, 3000), () =>
        this.see(peer, { ...host.member, state: 'dead' }),
      );
    });
  }

  /** Stops the process at a place as planned: it leaves, serves for 3 seconds and ends. */
  leave(place: number): void {
    const host = this.hosts[place];
    if (!host) return;
    this.see(host, { ...host.member, state: 'leaving' });
    this.publish(host, { ...host.member, state: 'leaving' }, 700);
    this.time.after(3000, () => {
      if (this.hosts[place] === host) this.hosts[place] = undefined;
      host.isAlive = false;
      this.publish(host, { ...host.member, state: 'dead' }, 700);
    });
  }

  /** Cuts a host off from its peers, and from the store if `hasStore` is false. */
  isolate(place: number, hasStore: boolean): void {
    const host = this.hosts[place];
    if (!host) return;
    this.cutOff.set(place, { since: this.time.now, hasStore });
    const isStill = (): boolean => this.cutOff.has(place);
    this.others(place).forEach((peer, i) => {
      this.time.after(this.between(1000, 3000), () => {
        if (isStill()) this.see(peer, { ...host.member, state: 'dead' });
      });
      // It probes one after the other.
      this.time.after(1500 + i * 200, () => {
        if (isStill()) this.see(host, { ...peer.member, state: 'dead' });
      });
    });
  }

  reconnect(place: number): void {
    const host = this.hosts[place];
    if (!this.cutOff.delete(place) || !host) return;
    this.publish(host, host.member, 1500);
    this.others(place).forEach((peer) => this.learn(host, peer.member, this.between(0, 1500)));
  }

  /** Sends a request to a host; it counts as not sent where no process runs. */
  request(place: number, workspace: string): void {
    const host = this.hosts[place];
    const cut = this.cutOff.get(place);
    const staleAfter = KEYS_STALE_RATIO * (this.conditions.bounds.keyRevocationTime ?? Infinity);
    const isStale = cut && !cut.hasStore && this.time.now - cut.since > staleAfter;
    if (!host || isStale) return;
    const tally = this.tallyOf(workspace);
    const { now } = this.time;
    host.quotas.request(workspace, now, now + MAX_TOKEN_WAIT_MS, (decision) => {
      if (host.isAlive) tally.record(decision, now, this.time.now, this.cutOff.has(place));
    });
    this.schedule(host);
  }

  tallyOf(workspace: string): QuotaTally {
    const known = this.tallies.get(workspace);
    if (known) return known;
    const created = new QuotaTally();
    this.tallies.set(workspace, created);
    return created;
  }

  /** Sends requests of a workspace at a mean rate to hosts drawn from `places`, until `end`. */
  load(workspace: string, ratePerS: number, places: readonly number[], end: Instant): void {
    const gap = (-Math.log(1 - this.random()) * 1000) / ratePerS;
    if (this.time.now + gap > end) return;
    this.time.after(gap, () => {
      const place = places[Math.floor(this.random() * places.length)] ?? 0;
      this.request(place, workspace);
      this.load(workspace, ratePerS, places, end);
    });
  }

  /** Sends requests of a workspace at even intervals to hosts drawn from `places`, until `end`. */
  steadyLoad(workspace: string, ratePerS: number, places: readonly number[], end: Instant): void {
    if (this.time.now > end) return;
    const place = places[Math.floor(this.random() * places.length)] ?? 0;
    this.request(place, workspace);
    this.time.after(1000 / ratePerS, () => this.steadyLoad(workspace, ratePerS, places, end));
  }

  /** Returns the largest number of runs in any window over what the bound allows in it. */
  boundRatio(workspace: string, quota: WorkspaceQuota, from: Instant = 0): number {
    return this.tallyOf(workspace).boundRatio(quota, this.conditions.bounds, from);
  }

  private others(place: number): readonly SimulatedHost[] {
    return this.hosts.flatMap((host) =>
      host && host.place !== place && !this.cutOff.has(host.place) ? [host] : [],
    );
  }

  private publish(host: SimulatedHost, member: QuotaMember, learnTime: Millis): void {
    this.others(host.place).forEach((peer) =>
      this.learn(peer, member, this.between(learnTime / 5, learnTime)),
    );
  }

  private learn(host: SimulatedHost, member: QuotaMember, after: Millis): void {
    if (after === 0) this.see(host, member);
    else this.time.after(after, () => this.see(host, member));
  }

  private see(host: SimulatedHost, member: QuotaMember): void {
    if (!host.isAlive) return;
    if (member.state !== 'dead') {
      host.view.forEach((known, incarnation) => {
        const isBefore = Number(known.incarnation.slice(1)) < Number(member.incarnation.slice(1));
        if (known.address === member.address && isBefore) {
          host.view.set(incarnation, { ...known, state: 'dead' });
        }
      });
    }
    host.view.set(member.incarnation, member);
    host.quotas.onMembers([...host.view.values()], this.time.now);
    this.schedule(host);
  }

  private deliver(from: number, to: QuotaPeer, message: QuotaMessage): void {
    const body = encodeQuotaMessage(message);
    const bytes = encodeDatagram({ topic: 'quotas', body, positions: POSITIONS }, 3).length;
    this.datagramCount += 1;
    this.byteCount += bytes;
    this.largestDatagram = Math.max(this.largestDatagram, bytes);
    const target = this.hosts.find((host) => host?.member.address === to.address);
    const sender = this.hosts[from];
    const isFar = target?.member.dataCentre !== sender?.member.dataCentre;
    if (isFar) this.farByteCount += bytes;
    const { lossRatio = 0, doubledRatio = 0, lateRatio = 0 } = this.conditions;
    if (!target || this.cutOff.has(from) || this.cutOff.has(target.place)) return;
    if (this.random() < lossRatio) return;
    const copies = this.random() < doubledRatio ? 2 : 1;
    for (let i = 0; i < copies; i++) {
      const late = this.random() < lateRatio ? this.between(0, 400) : 0;
      const delay = (isFar ? this.between(3, 8) : this.between(0.2, 1)) + late;
      this.time.after(delay, () => {
        const decoded = decodeQuotaMessage(JSON.parse(JSON.stringify(body)));
        if (!decoded || !target.isAlive) return;
        target.quotas.onContact(this.time.now);
        target.quotas.onMessage(decoded, this.time.now);
        this.schedule(target);
      });
    }
  }

  private schedule(host: SimulatedHost): void {
    const { wakeAt } = host.quotas;
    if (wakeAt >= (this.wakeTimes.get(host) ?? Number.POSITIVE_INFINITY)) return;
    this.wakeTimes.set(host, wakeAt);
    this.time.at(wakeAt, () => {
      if (this.wakeTimes.get(host) !== wakeAt) return;
      this.wakeTimes.delete(host);
      this.advance(host);
    });
  }

  private advance(host: SimulatedHost): void {
    if (!host.isAlive) return;
    host.quotas.advance(this.time.now);
    this.schedule(host);
  }

  private tick(host: SimulatedHost): void {
    if (!host.isAlive) return;
    this.advance(host);
    this.time.after(TICK_MS, () => this.tick(host));
  }

  /** Lets hosts hear of each other as the membership's probes do. */
  private contact(): void {
    const heard = this.hosts.filter((host) => host && !this.cutOff.has(host.place));
    if (heard.length > 1) heard.forEach((host) => host?.quotas.onContact(this.time.now));
    this.time.after(CONTACT_MS, () => this.contact());
  }
}
