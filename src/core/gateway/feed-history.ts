import type { KeyedRecord, PositionedPage } from '../../model';

/** Number of changes that are kept for readers that go on from an earlier position. */
const MAX_RECENT_COUNT = 1024;
/** Bytes of their values above which only the last ones are kept. */
const MAX_RECENT_BYTES = 2 ** 20;

const bytesOf = (records: Iterable<KeyedRecord>): number => {
  let bytes = 0;
  for (const { value } of records) bytes += value.length;
  return bytes;
};

/** The newest record of each key of a feed, and its latest changes. */
export class FeedHistory {
  private readonly newest = new Map<string, KeyedRecord>();

  /** The latest changes, in order; the last one is at `position` - 1. */
  private recent: KeyedRecord[] = [];

  /** The position up to which the feed has been read; -1 before the first page. */
  private end = -1;

  get position(): number {
    return this.end;
  }

  /** Bytes of the values of the changes that are kept. */
  get recentBytes(): number {
    return bytesOf(this.recent);
  }

  /** Adds a page; one that is behind `position` or leaves a gap to it has no effect. */
  add({ isSnapshot, items, from, position }: PositionedPage): void {
    if (isSnapshot) {
      if (position < this.end) return;
      this.newest.clear();
      this.recent = [];
      items.forEach((record) => this.put(record));
      this.end = position;
      return;
    }
    if (from > this.end || position <= this.end) return;
    const added = items.slice(this.end - from);
    added.forEach((record) => this.put(record));
    this.recent = [...this.recent, ...added].slice(-MAX_RECENT_COUNT);
    let bytes = this.recentBytes;
    while (this.recent.length > 1 && bytes > MAX_RECENT_BYTES)
      bytes -= this.recent.shift()?.value.length ?? 0;
    this.end = position;
  }

  /**
   * Returns what follows a position: the changes, or a snapshot if they are no longer kept or it has
   * fewer bytes. Nothing follows a position that is ahead of this history. Load pattern: large
   * records of one key are replaced faster than a subscriber takes them in.
   */
  since(position: number): PositionedPage {
    const missing = this.end - position;
    if (missing < 0) return { isSnapshot: false, items: [], from: this.end, position: this.end };
    if (position >= 0 && missing <= this.recent.length) {
      const items = this.recent.slice(this.recent.length - missing);
      if (bytesOf(items) <= bytesOf(this.newest.values()))
        return { isSnapshot: false, items, from: position, position: this.end };
    }
    return { isSnapshot: true, items: [...this.newest.values()], from: 0, position: this.end };
  }

  private put(record: KeyedRecord): void {
    if (record.value.length === 0) this.newest.delete(record.key);
    else this.newest.set(record.key, record);
  }
}
