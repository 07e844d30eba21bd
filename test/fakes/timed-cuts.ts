import type { Instant, Millis } from '../../src/model';

import { LOG_ENDPOINT, type Endpoint } from './config-fleet';

/** One-way network cuts between endpoints and outages of the log, each with an end. */
export class TimedCuts {
  private readonly cutUntil = new Map<string, Instant>();

  private readonly unreliableUntil = new Map<Endpoint, Instant>();

  private logOutageUntil: Instant = 0;

  private logOutageFrom: Instant = 0;

  /** Cuts one direction between two endpoints until `until`. */
  cut(from: Endpoint, to: Endpoint, until: Instant): void {
    const key = `${from} ${to}`;
    this.cutUntil.set(key, Math.max(until, this.cutUntil.get(key) ?? 0));
    const isPeerCut = from !== LOG_ENDPOINT && to !== LOG_ENDPOINT;
    [from, to].forEach((end) =>
      this.markUnreliable(isPeerCut ? end : `${LOG_ENDPOINT} ${end}`, until),
    );
  }

  /** Records that an endpoint may be unreachable or paused until `until`. */
  markUnreliable(endpoint: Endpoint, until: Instant): void {
    this.unreliableUntil.set(endpoint, Math.max(until, this.unreliableUntil.get(endpoint) ?? 0));
  }

  /** Cuts the log off from all nodes; overlapping outages count as one. */
  addLogOutage(from: Instant, until: Instant): void {
    if (from > this.logOutageUntil) this.logOutageFrom = from;
    this.logOutageUntil = Math.max(until, this.logOutageUntil);
  }

  isCut(from: Endpoint, to: Endpoint, now: Instant): boolean {
    if ((from === LOG_ENDPOINT || to === LOG_ENDPOINT) && now < this.logOutageUntil) return true;
    return now < (this.cutUntil.get(`${from} ${to}`) ?? 0);
  }

  /** Returns the time since the current log outage began, in milliseconds; 0 outside an outage. */
  logOutageAge(now: Instant): Millis {
    return now < this.logOutageUntil ? now - this.logOutageFrom : 0;
  }

  /** Returns whether a node has run and reached its peers, without a fault, since `since`. */
  arePeerLinksUpSince(node: Endpoint, since: Instant): boolean {
    return (this.unreliableUntil.get(node) ?? 0) <= since;
  }

  /** Returns whether a node has been able to reach the log since `since`. */
  isLogReachableSince(node: Endpoint, since: Instant): boolean {
    return (
      this.logOutageUntil <= since &&
      (this.unreliableUntil.get(`${LOG_ENDPOINT} ${node}`) ?? 0) <= since
    );
  }
}
