import type { Instant, Upstream, UpstreamId } from '../../model';

import { newHealthEntry, type HealthEntry } from './entry';
import type { HealthState } from './events';
import { isOnTrial } from './share';

/** Ratio of suspects to upstreams above which a common cause outside them is likely. */
const MANY_SUSPECTS_RATIO = 0.4;

/** Holds the upstreams of a shard with their health states. */
export class HealthEntries {
  private readonly entries = new Map<UpstreamId, HealthEntry>();

  /** Upstreams that are suspect or on probation. */
  private underTest: readonly UpstreamId[] = [];

  get all(): readonly HealthEntry[] {
    return [...this.entries.values()];
  }

  get suspects(): readonly HealthEntry[] {
    return this.all.filter(({ healthState }) => healthState.kind === 'suspect');
  }

  /** Whether more than one upstream and more than the ratio above are suspect. */
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

  /** Returns the upstreams that currently get one attempt at a time. */
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
