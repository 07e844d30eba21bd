import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';

import type { Millis, UpstreamId } from '../../model';

import { randomUnit } from './random-unit';
import type { UpstreamCapacity } from './types';

/** Weight of the newest sample, 0 to 1, in an upstream's moving average of latency. */
const LATENCY_GAIN = 1 / 8;

interface UpstreamSlots {
  readonly id: UpstreamId;
  slots: number;
  share: number;
  /** Number of slots open to new work at the current share, held ones included. */
  open: number;
  inFlight: number;
  latency: Millis;
}

const openSlots = (slots: number, share: number): number =>
  share <= 0 ? 0 : Math.min(slots, Math.max(1, Math.round(share * slots)));

const smoothed = (average: Millis, sample: Millis): Millis =>
  average === 0 ? sample : average + LATENCY_GAIN * (sample - average);

/** Returns the mean latency in ms times the utilization; 0, so preferred, for an unknown latency. */
const cost = ({ inFlight, open, latency }: UpstreamSlots): number =>
  ((inFlight + 1) / open) * latency;

/** Counts the held slots of a shard's upstreams and selects an upstream for each attempt. */
export class Slots {
  private readonly slotsById = new Map<UpstreamId, UpstreamSlots>();

  private openTotal = 0;

  private listedTotal = 0;

  private heldTotal = 0;

  constructor(private readonly rng: RandomGenerator) {}

  /** Number of slots open to new work, held ones included. */
  get capacity(): number {
    return this.openTotal;
  }

  /** Number of slots of the listed upstreams, regardless of their share. */
  get listedSlots(): number {
    return this.listedTotal;
  }

  get held(): number {
    return this.heldTotal;
  }

  /** Replaces the upstreams; one no longer listed is counted until its last attempt is released. */
  update(upstreams: readonly UpstreamCapacity[]): void {
    const listedIds = new Set(upstreams.map(({ id }) => id));
    [...this.slotsById.keys()].filter((id) => !listedIds.has(id)).forEach((id) => this.close(id));
    upstreams.forEach(({ id, slots, share }) => {
      const upstream = this.slotsById.get(id) ?? { id, inFlight: 0, latency: 0 };
      this.slotsById.set(
        id,
        Object.assign(upstream, { slots, share, open: openSlots(slots, share) }),
      );
    });
    this.openTotal = [...this.slotsById.values()].reduce((sum, { open }) => sum + open, 0);
    this.listedTotal = upstreams.reduce((sum, { slots }) => sum + slots, 0);
  }

  /** Returns whether an upstream outside `exclude` has open slots, free or held. */
  hasOpenUpstream(exclude: readonly UpstreamId[]): boolean {
    if (exclude.length === 0) return this.openTotal > 0;
    return [...this.slotsById.values()].some(({ id, open }) => open > 0 && !exclude.includes(id));
  }

  /** Whether any open slot is free. */
  get hasFree(): boolean {
    return [...this.slotsById.values()].some(({ inFlight, open }) => inFlight < open);
  }

  /** Draws two upstreams with a free slot at random by share and returns the one of lower cost. */
  pick(exclude: readonly UpstreamId[]): UpstreamId | undefined {
    const free: UpstreamSlots[] = [];
    this.slotsById.forEach((upstream) => {
      if (upstream.inFlight < upstream.open && !exclude.includes(upstream.id)) free.push(upstream);
    });
    if (free.length === 0) return undefined;
    const first = this.drawByShare(free);
    const second = this.drawByShare(free);
    return cost(second) < cost(first) ? second.id : first.id;
  }

  /** Holds a slot; throws if the upstream is unknown or all its slots are held. */
  take(id: UpstreamId): void {
    const upstream = this.slotsById.get(id);
    if (!upstream || upstream.inFlight >= upstream.slots)
      throw new Error(
        `cannot hold a slot of upstream ${id}: it is not listed or all its slots are held`,
      );
    upstream.inFlight += 1;
    this.heldTotal += 1;
  }

  /** Releases a slot; returns false if none was held. `latency` is in milliseconds, 0 for none. */
  release(id: UpstreamId, latency: Millis): boolean {
    const upstream = this.slotsById.get(id);
    if (!upstream || upstream.inFlight === 0) return false;
    upstream.inFlight -= 1;
    this.heldTotal -= 1;
    if (latency > 0) upstream.latency = smoothed(upstream.latency, latency);
    if (upstream.slots === 0 && upstream.inFlight === 0) this.slotsById.delete(id);
    return true;
  }

  inFlight(id: UpstreamId): number {
    return this.slotsById.get(id)?.inFlight ?? 0;
  }

  private close(id: UpstreamId): void {
    const upstream = this.slotsById.get(id);
    if (upstream && upstream.inFlight > 0) Object.assign(upstream, { slots: 0, share: 0, open: 0 });
    else this.slotsById.delete(id);
  }

  private drawByShare(slotsById: readonly UpstreamSlots[]): UpstreamSlots {
    const total = slotsById.reduce((sum, { share }) => sum + share, 0);
    let left = randomUnit(this.rng) * total;
    const found = slotsById.find(({ share }) => {
      left -= share;
      return left < 0;
    });
    return found ?? slotsById[slotsById.length - 1]!;
  }
}
