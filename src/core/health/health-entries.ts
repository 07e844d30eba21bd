import type { Instant, Upstream, UpstreamId } from '../../model';

import { newHealthEntry, type HealthEntry } from './entry';
import type { HealthState } from './events';
import { isOnTrial } from './share';

/** With more suspects at once than this share, the cause is likely not theirs. */
const MANY_SUSPECTS_RATIO = 0.4;

/** The upstreams of a shard with their standings. */
export class HealthEntries {
  private readonly entries = new Map<UpstreamId, HealthEntry>();

  /** The suspects, and those on probation. */
  private underTest: readonly UpstreamId[] = [];

  get all(): readonly HealthEntry[] {
    return [...this.entries.values()];
  }

  get suspects(): readonly HealthEntry[] {
    return this.all.filter(({ healthState }) => healthState.kind === 'suspect');
  }

  /** Whether so many are suspect at once that the cause is likely elsewhere. */
  get hasManySuspects(): boolean {
    if (this.underTest.length === 0) return false;
    return this.suspects.length > Math.max(1, this.entries.size * MANY_SUSPECTS_RATIO);
  }

  get(id: UpstreamId): HealthEntry | undefined {
    return this.entries.get(id);
  }

  add(upstream: Upstream, healthState: HealthState): void {
    this.put(newHealthEntry(upstream, healthState));
  }

  put(entry: HealthEntry): void {
    const { id } = entry.upstream;
    const before = this.entries.get(id)?.healthState;
    this.entries.set(id, entry);
    if (before !== entry.healthState) this.updateUnderTest();
  }

  remove(id: UpstreamId): void {
    this.entries.delete(id);
    this.updateUnderTest();
  }

  /** Those that are to be tried with one attempt at a time. */
  onTrial(now: Instant): readonly HealthEntry[] {
    return this.underTest.flatMap((id) => {
      const entry = this.entries.get(id);
      return entry && isOnTrial(entry, now) ? [entry] : [];
    });
  }

  private updateUnderTest(): void {
    this.underTest = this.all
      .filter(
        ({ healthState }) => healthState.kind === 'suspect' || healthState.kind === 'probation',
      )
      .map(({ upstream }) => upstream.id);
  }
}
