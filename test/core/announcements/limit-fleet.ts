/** Hosts that share an upstream's announced limit, in virtual time. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

import { SendingHostHistory, UpstreamTerms } from '../../../src/core/announcements';
import { NO_ANNOUNCEMENT, type Member, type MemberState } from '../../../src/model';

const STEP_MS = 5;
/** Time from a request to the answer that names the limit. */
const ANSWER_MS = 470;
/** Time after an answer that names the limit from which its host's requests count. */
const TOLD_BEFORE_MS = 500;
/** Longest time until a host has learnt of a change of members or owners. */
const NEWS_DELAY_MS = 2000;
/** Time until the others hold a host dead that is not heard from. */
const DEATH_DELAY_MS = 2500;
const WINDOW_MS = 4000;

/** What happens to a host. */
export type HostEvent =
  | { readonly kind: 'kill' | 'restart' | 'leave' | 'cut' | 'join'; readonly host: number }
  /** A host becomes an owner, or stops being one. */
  | { readonly kind: 'own' | 'disown'; readonly host: number };

const memberOf = ({ address }: { readonly address: string }, state: MemberState): Member => ({
  incarnation: address,
  dataCentre: 'a',
  address,
  callerPort: 1,
  peerPort: 2,
  state,
});

/** One host with its own clock and its own view of the others. */
class Host {
  isUp = true;

  /** Whether it hears from the others. */
  isCut = false;

  isOwner = true;

  state: MemberState = 'alive';

  history: SendingHostHistory;

  terms = new UpstreamTerms('u');

  /** When it first had an answer that named the limit; Infinity before. */
  toldAt = Number.POSITIVE_INFINITY;

  /** Whether it has restarted and heard of no other host since, which excuses it. */
  isUninformed = false;

  constructor(
    readonly address: string,
    /** Offset of its monotonic clock. */
    readonly offset: number,
  ) {
    this.history = new SendingHostHistory(address, offset);
  }

  /** Starts the process again; it knows itself alone. */
  restart(now: number): void {
    const self = memberOf(this, 'alive');
    this.isUp = true;
    this.state = 'alive';
    this.history = new SendingHostHistory(this.address, now + this.offset);
    this.terms = new UpstreamTerms('u');
    this.toldAt = Number.POSITIVE_INFINITY;
    this.isUninformed = true;
    this.history.update([self], [self], now + this.offset);
  }

  /** Takes in an answer to a request sent under `terms`. */
  answered(terms: UpstreamTerms, rateLimit: number, now: number): void {
    if (this.terms === terms) this.toldAt = Math.min(this.toldAt, now);
    terms.apply({ ...NO_ANNOUNCEMENT, rateLimit }, { genuine: true }, now + this.offset);
  }

  /** Takes in its view of the owners and members. */
  update(owners: readonly Member[], members: readonly Member[], now: number): void {
    if (members.filter(({ state }) => state === 'alive').length > 1) this.isUninformed = false;
    this.history.update(owners, members, now + this.offset);
  }
}

/** Hosts with demand beyond the limit, all of which send as soon as their terms let them. */
export class LimitFleet {
  /** Times of the requests from hosts that had been told of the limit. */
  readonly arrivals: number[] = [];

  private now = 0;

  private readonly random;

  private readonly hosts: readonly Host[];

  /** Actions by the time at which they are due. */
  private pending: { readonly at: number; readonly run: () => void }[] = [];

  constructor(
    count: number,
    private readonly limit: number,
    /** Requests per second that each host could send. */
    private readonly demandPerHost: number,
    seed: number,
  ) {
    this.random = xoroshiro128plus(seed);
    this.hosts = Array.from({ length: count }, (_, i) => {
      const offset = uniformInt(this.random, -5000, 5000);
      return new Host(`10.0.${i >> 8}.${i & 255}`, offset);
    });
    this.hosts.forEach((host) => this.tell(host));
  }

  /** Runs until `until`; `events` happen at their times in milliseconds. */
  run(until: number, events: readonly (HostEvent & { readonly at: number })[] = []): void {
    events.forEach((event) => this.pending.push({ at: event.at, run: () => this.apply(event) }));
    for (; this.now < until; this.now += STEP_MS) {
      const due = this.pending.filter(({ at }) => at <= this.now);
      this.pending = this.pending.filter(({ at }) => at > this.now);
      due.forEach(({ run }) => run());
      this.hosts.forEach((host) => this.offer(host));
    }
  }

  /** Returns the most requests in 4 s that begin at `from` or later. */
  mostInWindow(from: number): number {
    const times = this.arrivals.filter((at) => at >= from);
    let most = 0;
    let end = 0;
    times.forEach((start, i) => {
      while (end < times.length && (times[end] ?? 0) < start + WINDOW_MS) end += 1;
      most = Math.max(most, end - i);
    });
    return most;
  }

  /** Returns the part of the limit that was used from `from` on. */
  usedShare(from: number): number {
    const count = this.arrivals.filter((at) => at >= from).length;
    return count / ((this.limit * (this.now - from)) / 1000);
  }

  private offer(host: Host): void {
    if (!host.isUp || uniformFloat64(this.random) >= (this.demandPerHost * STEP_MS) / 1000) return;
    const local = this.now + host.offset;
    const { terms } = host;
    if (local < terms.heldUntil(host.history.at(local))) return;
    terms.recordSend(local);
    if (this.now >= host.toldAt + TOLD_BEFORE_MS && !host.isUninformed)
      this.arrivals.push(this.now);
    this.pending.push({
      at: this.now + ANSWER_MS,
      run: () => host.answered(terms, this.limit, this.now),
    });
  }

  private apply({ kind, host: index }: HostEvent): void {
    const host = this.hosts[index % this.hosts.length];
    if (!host) return;
    switch (kind) {
      case 'kill':
        host.isUp = false;
        host.state = 'dead';
        break;
      case 'restart':
        host.restart(this.now);
        break;
      case 'leave':
        host.state = 'leaving';
        host.isOwner = false;
        break;
      case 'cut':
        host.isCut = true;
        break;
      case 'join':
        host.isCut = false;
        break;
      case 'own':
      case 'disown':
        host.isOwner = kind === 'own';
    }
    this.spread();
  }

  /** Tells every host of the members after a delay of its own. */
  private spread(): void {
    this.hosts.forEach((host) =>
      this.pending.push({
        at: this.now + uniformInt(this.random, 0, NEWS_DELAY_MS),
        run: () => this.tell(host),
      }),
    );
    this.hosts.forEach((host) =>
      this.pending.push({ at: this.now + DEATH_DELAY_MS, run: () => this.tell(host) }),
    );
  }

  /** Gives a host its view; those across a cut look dead to each other. */
  private tell(to: Host): void {
    if (!to.isUp) return;
    const members = this.hosts.map((host) =>
      memberOf(host, host.isCut === to.isCut ? host.state : 'dead'),
    );
    const owners = members.filter(
      ({ state }, i) => state === 'alive' && this.hosts[i]?.isOwner === true,
    );
    to.update(owners, members, this.now);
  }
}
