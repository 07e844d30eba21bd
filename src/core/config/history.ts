import { changeEntryCount } from './change';
import type { AcceptedChange } from './fold';

/** Maximum number of changes kept. */
const MAX_CHANGE_COUNT = 256;
/** Maximum number of entries in all kept changes, unless the latest change alone has more. */
const MAX_ENTRY_COUNT = 20_000;

/** Keeps a limited number of the latest accepted changes, without a gap. Immutable. */
export class ChangeHistory {
  static readonly empty = new ChangeHistory([], 0);

  private constructor(
    private readonly changes: readonly AcceptedChange[],
    private readonly entries: number,
  ) {}

  /** Returns the history with a change added; one that does not follow the last starts it anew. */
  add(accepted: AcceptedChange): ChangeHistory {
    const last = this.changes.at(-1);
    if (last && last.version + 1 !== accepted.version) return ChangeHistory.empty.add(accepted);
    const changes = [...this.changes, accepted];
    let entries = this.entries + changeEntryCount(accepted.record.change);
    while (changes.length > MAX_CHANGE_COUNT || (entries > MAX_ENTRY_COUNT && changes.length > 1)) {
      const dropped = changes.shift();
      if (dropped) entries -= changeEntryCount(dropped.record.change);
    }
    return new ChangeHistory(changes, entries);
  }

  /**
   * Returns the changes after `version`, oldest first, as many as have at most `maxEntries` entries
   * together. Undefined when the next change is not kept or has more entries by itself.
   */
  after(version: number, maxEntries: number): readonly AcceptedChange[] | undefined {
    const start = this.changes.findIndex((change) => change.version === version + 1);
    if (start < 0) return undefined;
    let entries = 0;
    let end = start;
    for (; end < this.changes.length; end++) {
      const change = this.changes[end];
      if (!change) break;
      entries += changeEntryCount(change.record.change);
      if (entries > maxEntries) break;
    }
    return end > start ? this.changes.slice(start, end) : undefined;
  }
}
