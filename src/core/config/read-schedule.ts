import type { Instant, Millis } from '../../model';

/** Maximum time in milliseconds that a read waits for a record. */
export const LOG_READ_WAIT_MS: Millis = 800;

const READ_BACKOFF_MS: Millis = 400;
/** Time after which a read without an answer is given up, and the next one may be sent. */
const READ_TIMEOUT_MS: Millis = 15_000;
/**
 * Age of the last confirmation from which a node that is not a log reader reads the log itself,
 * because the log readers no longer relay newer ones.
 */
const RELAYED_CONFIRMATION_TTL_MS: Millis = 1000;
/** Minimum time between two reads of a node that is not a log reader. */
const NON_READER_INTERVAL_MS: Millis = 4000;

/** Decides when the stream is read; one read is in flight at a time. Immutable. */
export class ReadSchedule {
  static readonly start = new ReadSchedule(undefined, 0, 0);

  private constructor(
    /** Timeout of the read in flight; undefined when there is none. */
    private readonly readingUntil: Instant | undefined,
    private readonly notBefore: Instant,
    /** Earliest time of the next read if this node is not a log reader. */
    private readonly nonReaderAt: Instant,
  ) {}

  /**
   * Returns whether to read now. `confirmationAge` is the time since the log is known to have held
   * nothing newer. A node that is not a log reader relies on peers and reads only when that is old.
   */
  isDue(isReader: boolean, confirmationAge: Millis, now: Instant): boolean {
    if (this.readingUntil !== undefined && now < this.readingUntil) return false;
    if (now < this.notBefore) return false;
    return isReader || (confirmationAge >= RELAYED_CONFIRMATION_TTL_MS && now >= this.nonReaderAt);
  }

  /** Records that a read was sent. */
  sent(now: Instant): ReadSchedule {
    return new ReadSchedule(now + READ_TIMEOUT_MS, this.notBefore, now + NON_READER_INTERVAL_MS);
  }

  /** Records that the read was answered, so that the next one is due at once. */
  answered(): ReadSchedule {
    return new ReadSchedule(undefined, 0, this.nonReaderAt);
  }

  /** Records that the read failed, and delays the next one. */
  failed(now: Instant): ReadSchedule {
    return new ReadSchedule(undefined, now + READ_BACKOFF_MS, this.nonReaderAt);
  }
}
