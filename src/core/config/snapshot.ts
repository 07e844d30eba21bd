import {
  Inventory,
  type Config,
  type Route,
  type ServiceRules,
  type Tip,
  type Upstream,
  type Workspace,
} from '../../model';

import type { PositionedConfig } from './fold';

/** Number of entries in one part of a snapshot; the last part may have fewer. */
export const ENTRIES_PER_PART = 250;

/** One entry of a configuration, tagged with its kind. */
export type ConfigEntry =
  | { readonly kind: 'upstream'; readonly entry: Upstream }
  | { readonly kind: 'service'; readonly entry: ServiceRules }
  | { readonly kind: 'route'; readonly entry: Route }
  | { readonly kind: 'workspace'; readonly entry: Workspace };

/** Returns the entries of one kind from index `start` up to `end`, exclusive. */
type SectionSlice = (start: number, end: number) => readonly ConfigEntry[];

const partCount = (entries: number): number => Math.max(1, Math.ceil(entries / ENTRIES_PER_PART));

const section = <T>(
  entries: readonly T[],
  wrap: (entry: T) => ConfigEntry,
): { readonly length: number; readonly slice: SectionSlice } => ({
  length: entries.length,
  slice: (start, end) => entries.slice(start, end).map(wrap),
});

/** Divides a configuration into numbered parts of limited size, without copying it. */
export class Snapshot {
  private readonly sections: readonly { readonly length: number; readonly slice: SectionSlice }[];

  /** Number of parts. */
  readonly parts: number;

  /** `at` is the configuration to divide, with its position in the stream. */
  constructor(readonly at: PositionedConfig) {
    const { services, routes, workspaces } = at.config.rules;
    const upstreams = at.config.inventory.all();
    this.sections = [
      section(upstreams, (entry) => ({ kind: 'upstream', entry })),
      section(services, (entry) => ({ kind: 'service', entry })),
      section(routes, (entry) => ({ kind: 'route', entry })),
      section(workspaces, (entry) => ({ kind: 'workspace', entry })),
    ];
    this.parts = partCount(this.sections.reduce((sum, { length }) => sum + length, 0));
  }

  /** Returns the entries of part `index`, from 0. */
  part(index: number): readonly ConfigEntry[] {
    const start = index * ENTRIES_PER_PART;
    let passed = 0;
    return this.sections.flatMap(({ length, slice }) => {
      const from = Math.max(0, start - passed);
      const to = Math.min(length, start + ENTRIES_PER_PART - passed);
      passed += length;
      return from < to ? slice(from, to) : [];
    });
  }
}

/** Assembles a snapshot from its parts, added in order. Immutable. */
export class SnapshotAssembly {
  private constructor(
    readonly tip: Tip,
    readonly parts: number,
    private readonly received: readonly (readonly ConfigEntry[])[],
  ) {}

  static begin(tip: Tip, parts: number): SnapshotAssembly {
    return new SnapshotAssembly(tip, parts, []);
  }

  /** Number of the next part, from 0. */
  get next(): number {
    return this.received.length;
  }

  get complete(): boolean {
    return this.received.length >= this.parts;
  }

  add(entries: readonly ConfigEntry[]): SnapshotAssembly {
    return new SnapshotAssembly(this.tip, this.parts, [...this.received, entries]);
  }

  /** Returns the configuration. The assembly must be complete. */
  result(): PositionedConfig {
    const upstreams: Upstream[] = [];
    const services: ServiceRules[] = [];
    const routes: Route[] = [];
    const workspaces: Workspace[] = [];
    this.received.flat().forEach((each) => {
      switch (each.kind) {
        case 'upstream':
          return upstreams.push(each.entry);
        case 'service':
          return services.push(each.entry);
        case 'route':
          return routes.push(each.entry);
        case 'workspace':
          return workspaces.push(each.entry);
      }
    });
    const config: Config = {
      version: this.tip.version,
      inventory: Inventory.from(upstreams),
      rules: { services, routes, workspaces },
    };
    return { config, tip: this.tip };
  }
}
