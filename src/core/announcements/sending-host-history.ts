import type { Instant, Member, Millis } from '../../model';

import { SendingHosts } from './sending-hosts';

/** Time in milliseconds after which a host that is no longer an owner has learnt of it. */
const RELEASE_DELAY_MS: Millis = 2000;

/** How long the share of a host that is not heard from stays its own. */
export interface LostHolds {
  readonly lost: Millis;
  /** The same where most hosts are lost, as they may go on without this one. */
  readonly mostLost: Millis;
}

/** The holds for announced limits: what a dead host leaves unused keeps upstreams idle. */
export const LIMIT_HOLDS: LostHolds = { lost: 10_000, mostLost: 60_000 };

/** Why a host has a share of the limits, and since when. */
interface Retention {
  /** `released`: no owner any more, and perhaps not aware of it; `lost`: not heard from. */
  readonly kind: 'owner' | 'released' | 'lost';
  readonly since: Instant;
}

/**
 * Tells the hosts that share the limits of one service's upstreams. A share passes to others only
 * once its host has given it up, by leaving or as no owner any more, or has long been lost: hosts
 * agree on nothing, and one that is cut off goes on sending. With most hosts lost, this one is
 * more likely cut off itself, and takes no share that it had not before.
 */
export class SendingHostHistory {
  private readonly hosts = new Map<string, Retention>();

  private current: SendingHosts;

  /** The hosts of `current`, for comparison. */
  private currentKey = '';

  /** Whether this host, an owner, has taken its share. */
  private hasShare = false;

  private nextExpiry: Instant = Number.POSITIVE_INFINITY;

  constructor(
    private readonly self: string,
    now: Instant,
    /** Other hosts that the settings name; they count as lost until they are heard from. */
    named: readonly string[] = [],
    private readonly holds: LostHolds = LIMIT_HOLDS,
  ) {
    named
      .filter((host) => host !== self)
      .forEach((host) => this.hosts.set(host, { kind: 'lost', since: now }));
    this.current = new SendingHosts([], undefined, now);
  }

  /** Takes in the owners of the service and all members, after a change of either. */
  update(owners: readonly Member[], members: readonly Member[], now: Instant): void {
    const owning = new Set(owners.map(({ address }) => address));
    const addressesIn = (state: Member['state']): ReadonlySet<string> =>
      new Set(members.filter((member) => member.state === state).map(({ address }) => address));
    const alive = addressesIn('alive');
    const leaving = addressesIn('leaving');
    this.hosts.forEach(({ kind }, host) => {
      if (owning.has(host)) return;
      const isLive = alive.has(host);
      if (!isLive && leaving.has(host)) this.hosts.delete(host);
      else if (isLive && kind !== 'released')
        this.hosts.set(host, { kind: 'released', since: now });
      else if (!isLive && kind !== 'lost') this.hosts.set(host, { kind: 'lost', since: now });
    });
    owning.forEach((host) => this.hosts.set(host, { kind: 'owner', since: now }));
    this.expire(now);
    this.renew(now);
  }

  /** Returns the hosts that share the limits at `now`. */
  at(now: Instant): SendingHosts {
    if (now >= this.nextExpiry) {
      this.expire(now);
      this.renew(now);
    }
    return this.current;
  }

  private get lostCount(): number {
    return [...this.hosts.values()].filter(({ kind }) => kind === 'lost').length;
  }

  private expire(now: Instant): void {
    const { holds } = this;
    const lostHold = 2 * this.lostCount > this.hosts.size ? holds.mostLost : holds.lost;
    this.nextExpiry = Number.POSITIVE_INFINITY;
    this.hosts.forEach(({ kind, since }, host) => {
      if (kind === 'owner') return;
      const until = since + (kind === 'lost' ? lostHold : RELEASE_DELAY_MS);
      if (now >= until) this.hosts.delete(host);
      else this.nextExpiry = Math.min(this.nextExpiry, until);
    });
  }

  private renew(now: Instant): void {
    const hosts = [...this.hosts.keys()].sort();
    const isOwner = this.hosts.get(this.self)?.kind === 'owner';
    this.hasShare = isOwner && (this.hasShare || 2 * this.lostCount < this.hosts.size);
    const key = JSON.stringify([this.hasShare, hosts]);
    if (key === this.currentKey) return;
    this.currentKey = key;
    this.current = new SendingHosts(hosts, this.hasShare ? this.self : undefined, now);
  }
}
