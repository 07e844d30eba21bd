import { MILLIS_PER_SECOND, type Instant, type Millis, type RequestsPerSecond } from '../../model';
import { hashOf, pairHash } from '../hash';

/** Time in milliseconds after a change of the hosts in which shares only shrink. */
export const TAKEOVER_DELAY_MS: Millis = 1000;
/** Longest time in milliseconds between two requests, so that the end of a limit is noticed. */
const MAX_INTERVAL_MS: Millis = 10_000;
/** Number of hosts that may send at the same moment, beyond one for each request per second. */
const EXTRA_SENDER_COUNT = 2;

/**
 * The hosts that share the limits of one service's upstreams. A small limit is shared by few of
 * them, drawn by rendezvous for each upstream, as every host that sends may send one request at
 * any moment beyond its rate.
 */
export class SendingHosts {
  private readonly hashes: readonly number[];

  /** Hash of this host; undefined if it sends nothing. */
  private readonly selfHash: number | undefined;

  constructor(
    hosts: readonly string[],
    /** This host; undefined if it sends nothing. */
    self: string | undefined,
    /** Time of the last change. */
    readonly since: Instant,
  ) {
    this.hashes = hosts.map(hashOf);
    this.selfHash = self === undefined ? undefined : hashOf(self);
  }

  /** Number of hosts that share the limits, this one included; 0 if it has no share. */
  get sharers(): number {
    return this.selfHash === undefined ? 0 : this.hashes.length;
  }

  /**
   * Returns the time in milliseconds between two requests of this host to an upstream that takes
   * `rate` from all hosts together; Infinity if others send them.
   */
  intervalOf(upstreamHash: number, rate: RequestsPerSecond): Millis {
    if (this.selfHash === undefined) return Number.POSITIVE_INFINITY;
    const ownRank = pairHash(upstreamHash, this.selfHash);
    const before = this.hashes.filter((hash) => pairHash(upstreamHash, hash) < ownRank).length;
    const wanted = Math.floor(rate) + EXTRA_SENDER_COUNT;
    const count = Math.min(this.hashes.length, wanted);
    if (before >= count) return Number.POSITIVE_INFINITY;
    return Math.min(MAX_INTERVAL_MS, (count * MILLIS_PER_SECOND) / rate);
  }
}
