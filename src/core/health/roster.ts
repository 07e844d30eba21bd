import type { Instant, Upstream, UpstreamId } from '../../model';

import { newEntry, type Entry } from './entry';
import type { HealthState } from './events';
import { isOnTrial } from './share';

/** With more suspects at once than this share, the cause is likely not theirs. */
const MANY_AT_ONCE = 0.4;

/** The upstreams of a shard with their standings. */
export class Roster {
  private readonly entries = new Map<UpstreamId, Entry>();

  /** The suspects, and those on probation. */
  private underTest: readonly UpstreamId[] = [];

  get all(): readonly Entry[] {
    return [...this.entries.values()];
  }

  get suspects(): readonly Entry[] {
    return this.all.filter(({ healthState }) => healthState.kind === 'suspect');
  }

  /** Whether so many are suspect at once that the cause is likely elsewhere. */
  get manyAtOnce(): boolean {
    if (this.underTest.length === 0) return false;
    return this.suspects.length > Math.max(1, this.entries.size * MANY_AT_ONCE);
  }

  get(id: UpstreamId): Entry | undefined {
    return this.entries.get(id);
  }

  add(upstream: Upstream, healthState: HealthState): void {
    this.put(newEntry(upstream, healthState));
  }

  put(entry: Entry): void {
    const { id } = entry.upstream;
    const before = this.entries.get(id)?.healthState;
    this.entries.set(id, entry);
    if (before !== entry.healthState) this.noteUnderTest();
  }

  remove(id: UpstreamId): void {
    this.entries.delete(id);
    this.noteUnderTest();
  }

  /** Those that are to be tried with one attempt at a time. */
  onTrial(now: Instant): readonly Entry[] {
    return this.underTest.flatMap((id) => {
      const entry = this.entries.get(id);
      return entry && isOnTrial(entry, now) ? [entry] : [];
    });
  }

  private noteUnderTest(): void {
    this.underTest = this.all
      .filter(
        ({ healthState }) => healthState.kind === 'suspect' || healthState.kind === 'probation',
      )
      .map(({ upstream }) => upstream.id);
  }
}
