import type { Instant, Millis } from '../../model';

/** The longest that a read waits for a record. */
export const LOG_READ_WAIT_MS: Millis = 800;

const BACKOFF: Millis = 400;
const GIVE_UP: Millis = 15_000;
const RELAYED_CONFIRMATION_TTL_MS: Millis = 1000;
const BYSTANDER_EVERY: Millis = 4000;

/** When the stream is read next; one read is out at a time. Immutable. */
export class ReadSchedule {
  static readonly start = new ReadSchedule(undefined, 0, 0);

  private constructor(
    private readonly readingUntil: Instant | undefined,
    private readonly notBefore: Instant,
    /** When a node that reads only for want of relayed news may read again. */
    private readonly bystanderAt: Instant,
  ) {}

  /** Whether to read now. A bystander hears of the log from others and reads when they fail it. */
  isDue(isReader: boolean, wordAge: Millis, now: Instant): boolean {
    if (this.readingUntil !== undefined && now < this.readingUntil) return false;
    if (now < this.notBefore) return false;
    return isReader || (wordAge >= RELAYED_CONFIRMATION_TTL_MS && now >= this.bystanderAt);
  }

  sent(now: Instant): ReadSchedule {
    return new ReadSchedule(now + GIVE_UP, this.notBefore, now + BYSTANDER_EVERY);
  }

  answered(): ReadSchedule {
    return new ReadSchedule(undefined, 0, this.bystanderAt);
  }

  failed(now: Instant): ReadSchedule {
    return new ReadSchedule(undefined, now + BACKOFF, this.bystanderAt);
  }
}
