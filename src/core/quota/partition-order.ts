import type { Instant } from '../../model';
import { hashOf } from '../hash';

import type { AllocatorDirectory } from './allocator-directory';
import type { AskBook } from './ask-book';
import type { PartitionIndex, QuotaMember, QuotaTerms } from './terms';
import type { TokenStock } from './token-stock';

/** A partition and its allocator; undefined if that is this host. */
export interface AskTarget {
  readonly partition: PartitionIndex;
  readonly member: QuotaMember | undefined;
}

/**
 * Chooses the partition that is asked next: that of the own data centre, then those that this host
 * is the allocator of, then the others in an order that differs between hosts.
 */
export class PartitionOrder {
  private readonly rotated: readonly PartitionIndex[];

  constructor(
    self: Pick<QuotaMember, 'incarnation' | 'dataCentre'>,
    { partitions, dataCentreCount }: QuotaTerms,
    private readonly directory: AllocatorDirectory,
    private readonly book: AskBook,
  ) {
    const count = partitions.length;
    const start = hashOf(self.incarnation) % count;
    const all = partitions.map((_, i) => (start + i) % count);
    const own = partitions.indexOf(self.dataCentre);
    const hasOwn = own >= 0 && own < dataCentreCount;
    this.rotated = hasOwn ? [own, ...all.filter((index) => index !== own)] : all;
  }

  /** Returns the first partition that may have tokens; undefined if none has or can be asked. */
  next(stock: TokenStock, now: Instant): AskTarget | undefined {
    let found: AskTarget | undefined;
    for (const partition of this.rotated) {
      if ((stock.partition(partition)?.blockedUntil ?? now) > now) continue;
      const view = this.directory.allocatorOf(partition, now);
      if (view.kind === 'self') return { partition, member: undefined };
      if (found || view.kind !== 'peer') continue;
      const isAsked = this.book.isOpen(stock, partition);
      if (!isAsked && !this.book.isSilent(view.member, now)) {
        found = { partition, member: view.member };
        if (partition === this.rotated[0]) return found;
      }
    }
    return found;
  }
}
