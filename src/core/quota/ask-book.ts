import type { Incarnation, Instant, Millis } from '../../model';

import type { TokenAsk } from './messages';
import type { QuotaMember } from './terms';
import type { TokenStock } from './token-stock';

/** A request for tokens that this host has made. */
export interface AskRecord {
  readonly ask: TokenAsk;
  readonly stock: TokenStock;
  /** The allocator that was asked; undefined if it is this host. */
  readonly to: QuotaMember | undefined;
  readonly askedAt: Instant;
  readonly isUrgent: boolean;
}

/** How far an unanswered request has come, and when the next step is due. */
interface OpenAsk {
  readonly record: AskRecord;
  readonly stage: 'sent' | 'repeated';
  readonly dueAt: Instant;
}

/** What is to be done about requests that were not answered in time. */
export interface UnansweredAsks {
  /** Requests to be sent again, which count as not asked from now on. */
  readonly repeated: readonly AskRecord[];
  readonly givenUp: readonly AskRecord[];
}

/** Time in milliseconds without an answer after which a request is sent again, as one may be lost. */
const REPEAT_AFTER_MS: Millis = 40;
/** The same for a request that no caller waits for, which is sent later. */
const REPEAT_PREFETCH_AFTER_MS: Millis = 60;
/** Time in milliseconds from the repetition until a request is given up. */
const GIVE_UP_AFTER_MS: Millis = 120;
/** Time in milliseconds for which requests are remembered, longer than any lease. */
const MEMORY_MS: Millis = 2000;
/**
 * Requests given up in a row from which on an allocator counts as silent. A busy small host gives up
 * several at once, as its timers fire before it reads the answers.
 */
const SILENT_AFTER_COUNT = 6;
/**
 * Time in milliseconds until a silent allocator is asked again. Requests are refused meanwhile if
 * all are silent, which is more likely this host's own delay.
 */
const SILENCE_MS: Millis = 250;

/** Keeps the requests for tokens that this host has made, and which allocators don't answer them. */
export class AskBook {
  private readonly records = new Map<number, AskRecord>();

  /** Requests that have been answered. */
  private readonly answered = new Set<number>();

  private readonly open = new Map<number, OpenAsk>();

  /** Requests given up in a row by allocator, and until when it is not asked. */
  private readonly failures = new Map<
    Incarnation,
    { readonly count: number; readonly silentUntil: Instant }
  >();

  add(record: AskRecord, now: Instant): void {
    const { seq } = record.ask;
    this.records.set(seq, record);
    if (!record.to) return;
    const repeatAfter = record.isUrgent ? REPEAT_AFTER_MS : REPEAT_PREFETCH_AFTER_MS;
    this.open.set(seq, { record, stage: 'sent', dueAt: now + repeatAfter });
  }

  /** Returns a request made here that is remembered. */
  record(seq: number): AskRecord | undefined {
    return this.records.get(seq);
  }

  /** Whether a partition's allocator has not answered a request for this stock yet. */
  isOpen(stock: TokenStock, partition: number): boolean {
    for (const { record } of this.open.values()) {
      if (record.stock === stock && record.ask.partition === partition) return true;
    }
    return false;
  }

  /** Whether an allocator is not asked for now, as it has not answered. */
  isSilent({ incarnation }: QuotaMember, now: Instant): boolean {
    return (this.failures.get(incarnation)?.silentUntil ?? now) > now;
  }

  /** Records that a request was answered; false if it was before. */
  answer(seq: number): boolean {
    if (!this.records.has(seq) || this.answered.has(seq)) return false;
    this.answered.add(seq);
    return true;
  }

  /** Closes an answered request; returns whether the allocator was held silent before. */
  close({ ask, to }: AskRecord): boolean {
    this.open.delete(ask.seq);
    if (!to) return false;
    const wasSilent = (this.failures.get(to.incarnation)?.count ?? 0) >= SILENT_AFTER_COUNT;
    this.failures.delete(to.incarnation);
    return wasSilent;
  }

  /** Records a request that was given up; returns whether the allocator is held silent from now. */
  recordFailure({ incarnation }: QuotaMember, now: Instant): boolean {
    const count = (this.failures.get(incarnation)?.count ?? 0) + 1;
    const silentUntil = count >= SILENT_AFTER_COUNT ? now + SILENCE_MS : now;
    this.failures.set(incarnation, { count, silentUntil });
    return count === SILENT_AFTER_COUNT;
  }

  /** Returns the requests that were not answered in time. */
  takeUnanswered(now: Instant): UnansweredAsks {
    const due = [...this.open.values()].filter(({ dueAt }) => dueAt <= now);
    const repeated = due.filter(({ stage }) => stage === 'sent').map(({ record }) => record);
    const givenUp = due.filter(({ stage }) => stage === 'repeated').map(({ record }) => record);
    repeated.forEach((record) => {
      const dueAt = now + GIVE_UP_AFTER_MS;
      this.open.set(record.ask.seq, { record, stage: 'repeated', dueAt });
    });
    givenUp.forEach(({ ask }) => this.open.delete(ask.seq));
    return { repeated, givenUp };
  }

  /** Returns when the next request has gone unanswered; Infinity if none is open. */
  get dueAt(): Instant {
    let earliest = Number.POSITIVE_INFINITY;
    this.open.forEach(({ dueAt }) => {
      earliest = Math.min(earliest, dueAt);
    });
    return earliest;
  }

  /** Forgets the requests whose tokens have expired, and the members that are gone. */
  forgetPast(now: Instant): void {
    for (const [seq, { askedAt }] of this.records) {
      if (askedAt + MEMORY_MS > now) break;
      this.records.delete(seq);
      this.answered.delete(seq);
    }
    this.failures.forEach(({ silentUntil }, incarnation) => {
      if (silentUntil + MEMORY_MS < now) this.failures.delete(incarnation);
    });
  }
}
