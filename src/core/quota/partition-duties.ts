import type { Instant, Millis } from '../../model';

import type { AllocatorDirectory } from './allocator-directory';
import type { QuotaAllocator } from './quota-allocator';
import type { PartitionIndex, QuotaMember, QuotaTerms } from './terms';

/** A change of this host's own part in granting tokens. */
export type DutyEvent =
  | { readonly kind: 'allocator-started' | 'allocator-stopped'; readonly partition: string }
  /** This host takes itself for cut off from the others, or no longer does. */
  | { readonly kind: 'isolated' | 'connected' };

/** Functions that the duties call. */
export interface PartitionDutiesService {
  /** Tells the allocator of a partition that this host takes it over. */
  claim(partition: PartitionIndex, from: QuotaMember): void;
  onEvent(event: DutyEvent): void;
}

/** Interval in milliseconds at which a claim is repeated, as datagrams may be lost. */
const CLAIM_INTERVAL_MS: Millis = 200;
/**
 * Time in milliseconds for which a partition that another host has claimed is not granted here,
 * within which its membership arrives. Without claims two hosts granted a partition for as long as
 * that took.
 */
const CLAIMED_MS: Millis = 2000;

/** Starts and stops granting as this host becomes the allocator of partitions and ceases to be. */
export class PartitionDuties {
  private isCutOff = false;

  private claimAt: Instant = Number.NEGATIVE_INFINITY;

  /** Until when partitions are left to the hosts that have claimed them. */
  private readonly claimedUntil = new Map<PartitionIndex, Instant>();

  constructor(
    private readonly terms: QuotaTerms,
    private readonly directory: AllocatorDirectory,
    private readonly allocator: QuotaAllocator,
    private readonly service: PartitionDutiesService,
  ) {}

  /** Takes in that another host takes over a partition. */
  onClaim(partition: PartitionIndex, now: Instant): void {
    if (this.allocator.isOn(partition)) this.claimedUntil.set(partition, now + CLAIMED_MS);
    this.update(now);
  }

  /** Applies what the directory says now. */
  update(now: Instant): void {
    const isCutOff = this.directory.isCutOff(now);
    if (isCutOff !== this.isCutOff) {
      this.isCutOff = isCutOff;
      this.service.onEvent({ kind: isCutOff ? 'isolated' : 'connected' });
    }
    this.terms.partitions.forEach((name, partition) => {
      const view = this.directory.allocatorOf(partition, now);
      const isClaimed = (this.claimedUntil.get(partition) ?? now) > now;
      const isOn = view.kind === 'self' && !isClaimed;
      if (isOn === this.allocator.isOn(partition)) return;
      if (isOn) this.allocator.begin(partition, now);
      else this.allocator.end(partition);
      this.service.onEvent({
        kind: isOn ? 'allocator-started' : 'allocator-stopped',
        partition: name,
      });
    });
    if (now >= this.claimAt) this.claim(now);
  }

  private claim(now: Instant): void {
    this.claimAt = now + CLAIM_INTERVAL_MS;
    this.terms.partitions.forEach((_, partition) => {
      const view = this.directory.allocatorOf(partition, now);
      if (view.kind === 'claiming' && view.before) this.service.claim(partition, view.before);
    });
  }
}
