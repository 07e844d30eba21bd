/** The ledger of one home: the keys whose requests it has started, and their results. */
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

/** Width of the time buckets by which expired entries are dropped. */
const SWEEP_INTERVAL_MS: Millis = 10_000;
/** Delay that a caller is asked to wait before a retry when the ledger is full. */
const FULL_RETRY_AFTER_MS: Millis = 1000;

/** Events that a ledger handles. */
export type LedgerEvent =
  /** Start the key, or answer as a retry when it has an entry. */
  | { readonly kind: 'call'; readonly ref: KeyRef; readonly fingerprint: Fingerprint }
  /** Like `call`, but never starts a key: the verdict for one without an entry is `absent`. */
  | { readonly kind: 'look'; readonly ref: KeyRef; readonly fingerprint: Fingerprint }
  /** Refuse a key whose request body was not read; its retries get the same refusal. */
  | { readonly kind: 'refuse'; readonly ref: KeyRef; readonly reason: NotRunReason }
  /** Record the result of a key. Only the first one counts; later ones are ignored. */
  | { readonly kind: 'settle'; readonly id: EntryId; readonly settlement: Settlement };

/** Decisions of the ledger on an event. */
export type LedgerVerdict =
  /** Run the request now, once, and report its result as a `settle` event. */
  | { readonly kind: 'start'; readonly id: EntryId }
  /** Wait for the result of the run that is in flight. */
  | { readonly kind: 'join'; readonly id: EntryId }
  /** Answer with the recorded answer. */
  | { readonly kind: 'replay'; readonly answer: KeptAnswer }
  | { readonly kind: 'refuse'; readonly outcome: Refusal }
  /** The key has no entry and was only looked up. */
  | { readonly kind: 'absent' }
  /** The event was `settle`; `changed` says whether it recorded the first result of the key. */
  | { readonly kind: 'settled'; readonly changed: boolean };

/** State of a ledger, besides its entries, that a home hands to its successor. */
export interface LedgerHeader {
  /** The time on the issuing home's clock when it stopped starting requests. */
  readonly frozenAt: Instant;
  /** Refusal marks by workspace. */
  readonly marks: MarkList;
  /** Refusal mark of all workspaces; -1 when unset. */
  readonly sharedMark: Instant;
}

const refuse = (outcome: Refusal): LedgerVerdict => ({ kind: 'refuse', outcome });

/** Returns the verdict on a retry of a key with this result. */
export const settlementVerdict = (settlement: Settlement): LedgerVerdict => {
  if (settlement.kind !== 'answer') return refuse(settlement);
  return settlement.body
    ? { kind: 'replay', answer: settlement }
    : refuse(unknownOutcome('answer-not-kept'));
};

/** Returns the verdict on a call whose key has an entry. */
const retryVerdict = (entry: LedgerEntry, fingerprint: Fingerprint): LedgerVerdict => {
  if (entry.fingerprint !== null && entry.fingerprint !== fingerprint) {
    return refuse(notRunOutcome('key-body-mismatch'));
  }
  return entry.settlement ? settlementVerdict(entry.settlement) : { kind: 'join', id: entry.id };
};

/**
 * Starts a key at most once, and refuses with `not-run` by itself only keys that it will never
 * start. Its size is limited: when it is full, new keys are refused, and no entry is dropped before
 * its expiry.
 */
export class Ledger {
  private readonly entries = new Map<EntryId, LedgerEntry>();

  /** Entry ids by the sweep bucket in which they expire. */
  private readonly idsByExpiryBucket = new Map<number, EntryId[]>();

  private readonly entriesPerWorkspace = new Map<WorkspaceName, number>();

  /** Total size of the kept answer bodies. */
  private heldBodyBytes = 0;

  /** Bucket of the latest sweep. */
  private sweptBucket: number;

  private constructor(
    private readonly limits: LedgerLimits,
    private readonly marks: RefusalMarks,
    /** Milliseconds to add to the local clock to get the clock of the issuing home. */
    private readonly clockOffset: Millis,
    now: Instant,
  ) {
    this.sweptBucket = Math.floor((now + clockOffset) / SWEEP_INTERVAL_MS);
  }

  /** Creates the empty ledger of a home that issues keys, whose clock is the local one. */
  static create(limits: LedgerLimits, now: Instant): Ledger {
    return new Ledger(limits, new RefusalMarks(), 0, now);
  }

  /**
   * Creates a successor's ledger, still without entries. Its clock continues from the time at which
   * the issuing home froze it, so that it never runs behind that time.
   */
  static inherit(limits: LedgerLimits, header: LedgerHeader, now: Instant): Ledger {
    const marks = new RefusalMarks(header.marks, header.sharedMark);
    return new Ledger(limits, marks, header.frozenAt - now, now);
  }

  get size(): number {
    return this.entries.size;
  }

  /** Total size in bytes of the kept answer bodies. */
  get bodyBytes(): number {
    return this.heldBodyBytes;
  }

  /** Drops expired entries, then handles an event. `now` is on the local clock. */
  apply(event: LedgerEvent, now: Instant): LedgerVerdict {
    const time = now + this.clockOffset;
    this.sweep(time);
    switch (event.kind) {
      case 'call':
        return this.call(event.ref, event.fingerprint, time);
      case 'look':
        return this.lookUp(event.ref, event.fingerprint);
      case 'refuse':
        return this.refuseUnread(event.ref, event.reason, time);
      case 'settle':
        return { kind: 'settled', changed: this.settle(event.id, event.settlement) };
    }
  }

  get(id: EntryId): LedgerEntry | undefined {
    return this.entries.get(id);
  }

  /** Iterates over all entries, for a handover. */
  all(): Iterable<LedgerEntry> {
    return this.entries.values();
  }

  /** Drops expired entries and returns what a successor needs besides the remaining ones. */
  header(now: Instant): LedgerHeader {
    this.sweep(now + this.clockOffset);
    const { sharedMark } = this.marks;
    return { frozenAt: now + this.clockOffset, marks: this.marks.list(), sharedMark };
  }

  /** Adds an entry from the predecessor; its result replaces an entry that is in flight. */
  adopt(entry: LedgerEntry): void {
    if (this.entries.has(entry.id)) {
      if (entry.settlement) this.settle(entry.id, entry.settlement);
      return;
    }
    this.insert({ ...entry, settlement: null });
    if (entry.settlement) this.settle(entry.id, entry.settlement);
  }

  private lookUp(ref: KeyRef, fingerprint: Fingerprint): LedgerVerdict {
    const entry = this.entries.get(entryId(ref.workspace, ref.key));
    return entry ? retryVerdict(entry, fingerprint) : { kind: 'absent' };
  }

  private call(ref: KeyRef, fingerprint: Fingerprint, time: Instant): LedgerVerdict {
    const id = entryId(ref.workspace, ref.key);
    const entry = this.entries.get(id);
    if (entry) return retryVerdict(entry, fingerprint);
    const refusal = this.refusalOf(ref, time);
    if (refusal) return refuse(refusal);
    if (ref.startBefore > time + this.limits.startWindow) {
      return this.refuseUnread(ref, 'bad-request', time);
    }
    if (!this.hasRoom(ref.workspace)) return this.refuseForRoom(ref);
    this.insert(this.entryFor(ref, fingerprint, null));
    return { kind: 'start', id };
  }

  /** Returns why a key without an entry is never started from `time` on; undefined if it may be. */
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
      return unread ? settlementVerdict(unread) : refuse(notRunOutcome('key-body-mismatch'));
    }
    const refusal = this.refusalOf(ref, time);
    if (refusal) return refuse(refusal);
    if (!this.hasRoom(ref.workspace)) return this.refuseForRoom(ref);
    const outcome = notRunOutcome(reason);
    this.insert(this.entryFor(ref, null, outcome));
    return refuse(outcome);
  }

  /** Refuses a key for lack of room and raises the refusal mark to its start deadline. */
  private refuseForRoom(ref: KeyRef): LedgerVerdict {
    this.marks.raise(ref.workspace, ref.startBefore);
    return refuse(notRunOutcome('ledger-full', FULL_RETRY_AFTER_MS));
  }

  private hasRoom(workspace: WorkspaceName): boolean {
    const { maxEntries, maxWorkspaceEntries } = this.limits;
    if (this.entries.size >= maxEntries) return false;
    return (this.entriesPerWorkspace.get(workspace) ?? 0) < maxWorkspaceEntries;
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
    this.entriesPerWorkspace.set(
      entry.workspace,
      (this.entriesPerWorkspace.get(entry.workspace) ?? 0) + 1,
    );
    const bucket = Math.ceil(entry.until / SWEEP_INTERVAL_MS);
    const ids = this.idsByExpiryBucket.get(bucket);
    if (ids) ids.push(entry.id);
    else this.idsByExpiryBucket.set(bucket, [entry.id]);
  }

  private settle(id: EntryId, settlement: Settlement): boolean {
    const entry = this.entries.get(id);
    if (!entry || entry.settlement) return false;
    const kept = this.withinBodyLimits(settlement);
    this.heldBodyBytes += bodyBytes(kept);
    this.entries.set(id, { ...entry, settlement: kept });
    return true;
  }

  /** Returns the settlement, without its body when that exceeds the limits. */
  private withinBodyLimits(settlement: Settlement): Settlement {
    const { maxBodyBytes, maxTotalBodyBytes } = this.limits;
    const bytes = bodyBytes(settlement);
    if (bytes <= maxBodyBytes && this.heldBodyBytes + bytes <= maxTotalBodyBytes) return settlement;
    return settlement.kind === 'answer' ? { ...settlement, body: null } : settlement;
  }

  private sweep(time: Instant): void {
    const due = Math.floor(time / SWEEP_INTERVAL_MS);
    if (due <= this.sweptBucket) return;
    for (let bucket = this.sweptBucket; bucket <= due; bucket++) this.dropBucket(bucket);
    this.sweptBucket = due;
    this.marks.prune(time);
  }

  private dropBucket(bucket: number): void {
    this.idsByExpiryBucket.get(bucket)?.forEach((id) => this.drop(id));
    this.idsByExpiryBucket.delete(bucket);
  }

  private drop(id: EntryId): void {
    const entry = this.entries.get(id);
    if (!entry) return;
    this.entries.delete(id);
    this.heldBodyBytes -= bodyBytes(entry.settlement);
    const left = (this.entriesPerWorkspace.get(entry.workspace) ?? 1) - 1;
    if (left > 0) this.entriesPerWorkspace.set(entry.workspace, left);
    else this.entriesPerWorkspace.delete(entry.workspace);
  }
}
