import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';

import type { Millis, UpstreamId } from '../../model';

import { randomUnit } from './random-unit';
import type { UpstreamCapacity } from './types';

const LATENCY_GAIN = 1 / 8;

interface UpstreamSlots {
  readonly id: UpstreamId;
  slots: number;
  share: number;
  /** Slots that new work may fill. */
  open: number;
  inFlight: number;
  latency: Millis;
}

const openSlots = (slots: number, share: number): number =>
  share <= 0 ? 0 : Math.min(slots, Math.max(1, Math.round(share * slots)));

const smoothed = (average: Millis, sample: Millis): Millis =>
  average === 0 ? sample : average + LATENCY_GAIN * (sample - average);

/** Expected latency scaled by how full the upstream is; an unknown latency counts as least. */
const cost = ({ inFlight, open, latency }: UpstreamSlots): number =>
  ((inFlight + 1) / open) * latency;

/** The slots of a shard's upstreams: how many are held, and where an attempt should go. */
export class Slots {
  private readonly slotsById = new Map<UpstreamId, UpstreamSlots>();

  private openTotal = 0;

  private listedTotal = 0;

  private heldTotal = 0;

  constructor(private readonly rng: RandomGenerator) {}

  /** Slots open to new work, held ones included. */
  get capacity(): number {
    return this.openTotal;
  }

  /** Slots of the listed upstreams, whatever their share. */
  get listedSlots(): number {
    return this.listedTotal;
  }

  get held(): number {
    return this.heldTotal;
  }

  /** An upstream no longer listed keeps its count until its last attempt is released. */
  update(upstreams: readonly UpstreamCapacity[]): void {
    const listedSlots = new Set(upstreams.map(({ id }) => id));
    [...this.slotsById.keys()].filter((id) => !listedSlots.has(id)).forEach((id) => this.close(id));
    upstreams.forEach(({ id, slots, share }) => {
      const seat = this.slotsById.get(id) ?? { id, inFlight: 0, latency: 0 };
      this.slotsById.set(id, Object.assign(seat, { slots, share, open: openSlots(slots, share) }));
    });
    this.openTotal = [...this.slotsById.values()].reduce((sum, { open }) => sum + open, 0);
    this.listedTotal = upstreams.reduce((sum, { slots }) => sum + slots, 0);
  }

  /** Whether any upstream outside `exclude` is open to new work, now or once a slot is free. */
  hasOpenUpstream(exclude: readonly UpstreamId[]): boolean {
    if (exclude.length === 0) return this.openTotal > 0;
    return [...this.slotsById.values()].some(({ id, open }) => open > 0 && !exclude.includes(id));
  }

  /** Whether any slot is open and not held. */
  get hasFree(): boolean {
    return [...this.slotsById.values()].some(({ inFlight, open }) => inFlight < open);
  }

  /** The better of two upstreams drawn by share among those with a free slot. */
  pick(exclude: readonly UpstreamId[]): UpstreamId | undefined {
    const free: UpstreamSlots[] = [];
    this.slotsById.forEach((seat) => {
      if (seat.inFlight < seat.open && !exclude.includes(seat.id)) free.push(seat);
    });
    if (free.length === 0) return undefined;
    const first = this.drawByShare(free);
    const second = this.drawByShare(free);
    return cost(second) < cost(first) ? second.id : first.id;
  }

  /** Throws when there is no free slot: a broken invariant. */
  take(id: UpstreamId): void {
    const seat = this.slotsById.get(id);
    if (!seat || seat.inFlight >= seat.slots) throw new Error(`no free slot at ${id}`);
    seat.inFlight += 1;
    this.heldTotal += 1;
  }

  /** Whether a slot was held there. */
  release(id: UpstreamId, latency: Millis): boolean {
    const seat = this.slotsById.get(id);
    if (!seat || seat.inFlight === 0) return false;
    seat.inFlight -= 1;
    this.heldTotal -= 1;
    if (latency > 0) seat.latency = smoothed(seat.latency, latency);
    if (seat.slots === 0 && seat.inFlight === 0) this.slotsById.delete(id);
    return true;
  }

  inFlight(id: UpstreamId): number {
    return this.slotsById.get(id)?.inFlight ?? 0;
  }

  private close(id: UpstreamId): void {
    const seat = this.slotsById.get(id);
    if (seat && seat.inFlight > 0) Object.assign(seat, { slots: 0, share: 0, open: 0 });
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
