import { Left, Right, type Either } from 'purify-ts';

import type { LogBatch, LogError, Offset } from '../../src/ports';

/** One append-only stream in memory that can be trimmed; it has no delays and no faults. */
export class StreamStore {
  private readonly values: unknown[] = [];

  /** Creates an empty stream whose reads return at most `maxRecordsPerRead` records. */
  constructor(private readonly maxRecordsPerRead = Infinity) {}

  private firstKept = 0;

  /** Offset of the oldest record that is kept. */
  get first(): Offset {
    return this.firstKept;
  }

  /** Offset that the next record gets. */
  get next(): Offset {
    return this.values.length;
  }

  append(value: unknown): Offset {
    this.values.push(value);
    return this.next - 1;
  }

  /** Drops the records before the offset `first`. */
  trim(first: Offset): void {
    const to = Math.min(first, this.next);
    for (let offset = this.firstKept; offset < to; offset++) this.values[offset] = undefined;
    this.firstKept = Math.max(this.firstKept, to);
  }

  /** Returns the values that are kept, oldest first. */
  keptValues(): readonly unknown[] {
    return this.values.slice(this.firstKept);
  }

  read(from: Offset): Either<LogError, LogBatch> {
    const { first, next } = this;
    if (from < first) return Left({ kind: 'log-trimmed', first });
    const records = this.values
      .slice(from, from + this.maxRecordsPerRead)
      .map((value, index) => ({ offset: from + index, value }));
    return Right({ records, first, next });
  }
}
