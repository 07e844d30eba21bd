import type { Instant } from '../../model';

import type { AllocatorDirectory } from './allocator-directory';
import type { QuotaAllocator } from './quota-allocator';
import type { QuotaTerms } from './terms';

/** A change of this host's own part in granting tokens. */
export type DutyEvent =
  | { readonly kind: 'allocator-started' | 'allocator-stopped'; readonly partition: string }
  /** This host takes itself for cut off from the others, or no longer does. */
  | { readonly kind: 'isolated' | 'connected' };

/** Starts and stops granting as this host becomes the allocator of partitions and ceases to be. */
export class PartitionDuties {
  private isCutOff = false;

  constructor(
    private readonly terms: QuotaTerms,
    private readonly directory: AllocatorDirectory,
    private readonly allocator: QuotaAllocator,
    private readonly onEvent: (event: DutyEvent) => void,
  ) {}

  /** Applies what the directory says now. */
  update(now: Instant): void {
    const isCutOff = this.directory.isCutOff(now);
    if (isCutOff !== this.isCutOff) {
      this.isCutOff = isCutOff;
      this.onEvent({ kind: isCutOff ? 'isolated' : 'connected' });
    }
    this.terms.partitions.forEach((name, partition) => {
      const isOn = this.directory.allocatorOf(partition, now).kind === 'self';
      if (isOn === this.allocator.isOn(partition)) return;
      if (isOn) this.allocator.begin(partition, now);
      else this.allocator.end(partition);
      this.onEvent({ kind: isOn ? 'allocator-started' : 'allocator-stopped', partition: name });
    });
  }
}
