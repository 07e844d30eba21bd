/** The ledger of one home: which keys it has started, and what became of them. */
import {
  type Instant,
  type Millis,
  type NotRunReason,
  type Refusal,
  type WorkspaceName,
  notRunOutcome,
  unknownOutcome,
} from '../../model';

import {
  type EntryId,
  type Fingerprint,
  type KeptAnswer,
  type KeyRef,
  type LedgerEntry,
  type LedgerLimits,
  type Settlement,
  bodyBytes,
  entryId,
} from './ledger-entry';
import { type MarkList, RefusalMarks } from './refusal-marks';

const SWEEP_INTERVAL: Millis = 10_000;
const FULL_RETRY_AFTER: Millis = 1000;

export type LedgerEvent =
  | { readonly kind: 'call'; readonly ref: KeyRef; readonly fingerprint: Fingerprint }
  /** As `call`, but a key without an entry is `absent` and stays so. */
  | { readonly kind: 'look'; readonly ref: KeyRef; readonly fingerprint: Fingerprint }
  /** Refuses a key before its body is known; replays as refused from then on. */
  | { readonly kind: 'refuse'; readonly ref: KeyRef; readonly reason: NotRunReason }
  /** The first settlement of a key stands; later ones are ignored. */
  | { readonly kind: 'settle'; readonly id: EntryId; readonly settlement: Settlement };

/** What the holder of the ledger does with a call. */
export type LedgerVerdict =
  /** Run it now, once, and report its end as a `settle` event. */
  | { readonly kind: 'start'; readonly id: EntryId }
  /** Wait for the settlement of the run in flight. */
  | { readonly kind: 'join'; readonly id: EntryId }
  | { readonly kind: 'replay'; readonly answer: KeptAnswer }
  | { readonly kind: 'refuse'; readonly outcome: Refusal }
  | { readonly kind: 'absent' }
  /** The event was a settlement; `changed` when it was the first of its key. */
  | { readonly kind: 'settled'; readonly changed: boolean };

/** A ledger as it passes to an heir, without its entries. */
export interface LedgerHeader {
  /** The time on the issuing home's clock when it stopped starting requests. */
  readonly frozenAt: Instant;
  readonly marks: MarkList;
  readonly sharedMark: Instant;
}

const refuse = (outcome: Refusal): LedgerVerdict => ({ kind: 'refuse', outcome });

/** How a settlement is told to a retry. */
export const replay = (settlement: Settlement): LedgerVerdict => {
  if (settlement.kind !== 'answer') return refuse(settlement);
  return settlement.body
    ? { kind: 'replay', answer: settlement }
    : refuse(unknownOutcome('answer-not-kept'));
};

const repeat = (entry: LedgerEntry, fingerprint: Fingerprint): LedgerVerdict => {
  if (entry.fingerprint !== null && entry.fingerprint !== fingerprint) {
    return refuse(notRunOutcome('key-body-mismatch'));
  }
  return entry.settlement ? replay(entry.settlement) : { kind: 'join', id: entry.id };
};

/**
 * Says `start` at most once for a key, and `not-run` only of keys that it will never start.
 * Bounded: a new key is refused when there is no room; no entry is dropped before its time.
 */
export class Ledger {
  private readonly entries = new Map<EntryId, LedgerEntry>();

  private readonly expiries = new Map<number, EntryId[]>();

  private readonly perWorkspace = new Map<WorkspaceName, number>();

  private keptBytes = 0;

  private swept: number;

  private constructor(
    private readonly limits: LedgerLimits,
    private readonly marks: RefusalMarks,
    /** Added to the local clock to get the issuing home's. */
    private readonly clockOffset: Millis,
    now: Instant,
  ) {
    this.swept = Math.floor((now + clockOffset) / SWEEP_INTERVAL);
  }

  /** The empty ledger of a home that judges start deadlines by its own clock. */
  static create(limits: LedgerLimits, now: Instant): Ledger {
    return new Ledger(limits, new RefusalMarks(), 0, now);
  }

  /** An heir's copy. Its clock starts at the instant the issuing home stopped, never before. */
  static inherit(limits: LedgerLimits, header: LedgerHeader, now: Instant): Ledger {
    const marks = new RefusalMarks(header.marks, header.sharedMark);
    return new Ledger(limits, marks, header.frozenAt - now, now);
  }

  get size(): number {
    return this.entries.size;
  }

  /** Bytes of answer bodies held. */
  get bodyBytes(): number {
    return this.keptBytes;
  }

  apply(event: LedgerEvent, now: Instant): LedgerVerdict {
    const time = now + this.clockOffset;
    this.sweep(time);
    switch (event.kind) {
      case 'call':
        return this.call(event.ref, event.fingerprint, time);
      case 'look':
        return this.look(event.ref, event.fingerprint);
      case 'refuse':
        return this.refuseUnread(event.ref, event.reason, time);
      case 'settle':
        return { kind: 'settled', changed: this.settle(event.id, event.settlement) };
    }
  }

  get(id: EntryId): LedgerEntry | undefined {
    return this.entries.get(id);
  }

  /** All entries, for an heir. */
  all(): Iterable<LedgerEntry> {
    return this.entries.values();
  }

  /** What an heir needs besides the entries; drops those whose time has passed. */
  header(now: Instant): LedgerHeader {
    this.sweep(now + this.clockOffset);
    const { sharedMark } = this.marks;
    return { frozenAt: now + this.clockOffset, marks: this.marks.list(), sharedMark };
  }

  /** Takes an entry from the home before; a settlement stands over an entry in flight. */
  adopt(entry: LedgerEntry): void {
    if (this.entries.has(entry.id)) {
      if (entry.settlement) this.settle(entry.id, entry.settlement);
      return;
    }
    this.insert({ ...entry, settlement: null });
    if (entry.settlement) this.settle(entry.id, entry.settlement);
  }

  private look(ref: KeyRef, fingerprint: Fingerprint): LedgerVerdict {
    const entry = this.entries.get(entryId(ref.workspace, ref.key));
    return entry ? repeat(entry, fingerprint) : { kind: 'absent' };
  }

  private call(ref: KeyRef, fingerprint: Fingerprint, time: Instant): LedgerVerdict {
    const id = entryId(ref.workspace, ref.key);
    const entry = this.entries.get(id);
    if (entry) return repeat(entry, fingerprint);
    const refusal = this.refusalOf(ref, time);
    if (refusal) return refuse(refusal);
    if (ref.startBefore > time + this.limits.startWindow) {
      return this.refuseUnread(ref, 'bad-request', time);
    }
    if (!this.hasRoom(ref.workspace)) return this.refuseForRoom(ref);
    this.insert(this.entryFor(ref, fingerprint, null));
    return { kind: 'start', id };
  }

  /** Why a key without an entry is never started, as of `time`; holds at all later times. */
  private refusalOf(ref: KeyRef, time: Instant): Refusal | undefined {
    if (time >= ref.startBefore + this.limits.retention) return unknownOutcome('key-forgotten');
    if (time >= ref.startBefore) return notRunOutcome('key-expired');
    if (this.marks.covers(ref.workspace, ref.startBefore)) return notRunOutcome('ledger-full');
    return undefined;
  }

  private refuseUnread(ref: KeyRef, reason: NotRunReason, time: Instant): LedgerVerdict {
    const entry = this.entries.get(entryId(ref.workspace, ref.key));
    if (entry) {
      const unread = entry.fingerprint === null && entry.settlement;
      return unread ? replay(unread) : refuse(notRunOutcome('key-body-mismatch'));
    }
    const refusal = this.refusalOf(ref, time);
    if (refusal) return refuse(refusal);
    if (!this.hasRoom(ref.workspace)) return this.refuseForRoom(ref);
    const outcome = notRunOutcome(reason);
    this.insert(this.entryFor(ref, null, outcome));
    return refuse(outcome);
  }

  private refuseForRoom(ref: KeyRef): LedgerVerdict {
    this.marks.raise(ref.workspace, ref.startBefore);
    return refuse(notRunOutcome('ledger-full', FULL_RETRY_AFTER));
  }

  private hasRoom(workspace: WorkspaceName): boolean {
    const { maxEntries, maxWorkspaceEntries } = this.limits;
    if (this.entries.size >= maxEntries) return false;
    return (this.perWorkspace.get(workspace) ?? 0) < maxWorkspaceEntries;
  }

  private entryFor(
    ref: KeyRef,
    fingerprint: Fingerprint | null,
    settlement: Settlement | null,
  ): LedgerEntry {
    return {
      id: entryId(ref.workspace, ref.key),
      workspace: ref.workspace,
      fingerprint,
      until: ref.startBefore + this.limits.retention,
      settlement,
    };
  }

  private insert(entry: LedgerEntry): void {
    this.entries.set(entry.id, entry);
    this.perWorkspace.set(entry.workspace, (this.perWorkspace.get(entry.workspace) ?? 0) + 1);
    const bucket = Math.ceil(entry.until / SWEEP_INTERVAL);
    const ids = this.expiries.get(bucket);
    if (ids) ids.push(entry.id);
    else this.expiries.set(bucket, [entry.id]);
  }

  private settle(id: EntryId, settlement: Settlement): boolean {
    const entry = this.entries.get(id);
    if (!entry || entry.settlement) return false;
    const kept = this.bounded(settlement);
    this.keptBytes += bodyBytes(kept);
    this.entries.set(id, { ...entry, settlement: kept });
    return true;
  }

  /** The settlement without its body when that is beyond the bounds. */
  private bounded(settlement: Settlement): Settlement {
    const { maxBodyBytes, maxTotalBodyBytes } = this.limits;
    const bytes = bodyBytes(settlement);
    if (bytes <= maxBodyBytes && this.keptBytes + bytes <= maxTotalBodyBytes) return settlement;
    return settlement.kind === 'answer' ? { ...settlement, body: null } : settlement;
  }

  private sweep(time: Instant): void {
    const due = Math.floor(time / SWEEP_INTERVAL);
    if (due <= this.swept) return;
    for (let bucket = this.swept; bucket <= due; bucket++) this.dropBucket(bucket);
    this.swept = due;
    this.marks.prune(time);
  }

  private dropBucket(bucket: number): void {
    this.expiries.get(bucket)?.forEach((id) => this.drop(id));
    this.expiries.delete(bucket);
  }

  private drop(id: EntryId): void {
    const entry = this.entries.get(id);
    if (!entry) return;
    this.entries.delete(id);
    this.keptBytes -= bodyBytes(entry.settlement);
    const left = (this.perWorkspace.get(entry.workspace) ?? 1) - 1;
    if (left > 0) this.perWorkspace.set(entry.workspace, left);
    else this.perWorkspace.delete(entry.workspace);
  }
}
