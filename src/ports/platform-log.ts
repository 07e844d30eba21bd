import type { Either } from 'purify-ts';

import type { Instant } from '../model';

/** The position of a record in its stream; the first record has 0. */
export type Offset = number;

/** A record as read from a stream. */
export interface LogRecord {
  readonly offset: Offset;
  readonly value: unknown;
}

/** Consecutive records of one stream. */
export interface LogBatch {
  readonly records: readonly LogRecord[];
  /** The offset of the oldest record that the log still keeps. */
  readonly first: Offset;
  /** The offset that the next appended record will get. */
  readonly next: Offset;
}

/**
 * The reason why an operation on the log failed. `log-unsure`: the append may have taken effect.
 * `log-trimmed`: the offset to read from is older than `first`, the oldest that is kept.
 */
export type LogError =
  | { readonly kind: 'log-unavailable' }
  | { readonly kind: 'log-unsure' }
  | { readonly kind: 'log-trimmed'; readonly first: Offset }
  | { readonly kind: 'log-malformed' };

/** Reads and writes the platform's append-only log. */
export interface PlatformLog {
  /** Appends a record and returns its offset. */
  append(stream: string, value: unknown, deadline: Instant): Promise<Either<LogError, Offset>>;
  /**
   * Reads records from an offset on; waits for one until `deadline`, then returns an empty batch.
   */
  read(stream: string, from: Offset, deadline: Instant): Promise<Either<LogError, LogBatch>>;
}
