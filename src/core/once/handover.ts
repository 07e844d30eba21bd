/** Both ends of a handover, which passes a home and its ledger from its holder to a successor. */
import type { Incarnation, Instant, Millis, NodeIdentity } from '../../model';

import type { HandoverFrame, HandoverMessage, HandoverSettled } from './handover-message';
import type { LedgerHeader } from './ledger';
import { type EntryId, type LedgerEntry, type Settlement, bodyBytes } from './ledger-entry';

/** Maximum total size of the answer bodies in one frame, unless a single one is larger. */
const MAX_FRAME_BODY_BYTES = 65_536;
/** Maximum number of ledger entries in one frame. */
const MAX_ENTRIES_PER_FRAME = 256;
const RESEND_INTERVAL_MS: Millis = 250;
/** Maximum number of unacknowledged frames; frames and results together may be twice as many. */
const MAX_FRAMES_IN_FLIGHT = 16;

/** Splits entries into lists that fit into a frame each; returns at least one list. */
const splitIntoFrames = (entries: Iterable<LedgerEntry>): readonly (readonly LedgerEntry[])[] => {
  const chunks: LedgerEntry[][] = [];
  let last: LedgerEntry[] = [];
  let bytes = 0;
  for (const entry of entries) {
    const size = bodyBytes(entry.settlement);
    if (last.length === MAX_ENTRIES_PER_FRAME || bytes + size > MAX_FRAME_BODY_BYTES) {
      chunks.push(last);
      last = [];
      bytes = 0;
    }
    last.push(entry);
    bytes += size;
  }
  return [...chunks, last];
};

/** Events at the sending end: acknowledgements by the successor, and results to send to it. */
export type OutgoingHandoverEvent =
  | { readonly kind: 'ack'; readonly seq: number }
  | { readonly kind: 'settled'; readonly id: EntryId; readonly settlement: Settlement }
  | { readonly kind: 'settled-ack'; readonly id: EntryId }
  | { readonly kind: 'tick' };

/** The home that is handed over, and the nodes that send (`giver`) and receive (`heir`) it. */
export interface HandoverParties {
  readonly home: Incarnation;
  /** Number of times that the home has been handed over, this handover included. */
  readonly hops: number;
  readonly giver: NodeIdentity;
  readonly heir: NodeIdentity;
}

/** Sends the ledger to the successor, repeating each frame until it is acknowledged. */
export class OutgoingHandover {
  /** Frames that are not acknowledged yet by sequence number, with the time of the last sending. */
  private readonly unackedFrames: Map<number, { readonly frame: HandoverFrame; sentAt: Instant }>;

  private readonly unackedSettlements = new Map<
    EntryId,
    { readonly message: HandoverSettled; sentAt: Instant }
  >();

  private acknowledged = false;

  constructor(
    readonly parties: HandoverParties,
    header: LedgerHeader,
    entries: Iterable<LedgerEntry>,
  ) {
    const { home, hops, giver, heir } = parties;
    const parts = splitIntoFrames(entries);
    const unackedFrames = parts.map((part, seq) => ({
      sentAt: -Infinity,
      frame: {
        kind: 'frame' as const,
        home,
        hops,
        giver,
        heir: heir.incarnation,
        seq,
        total: parts.length,
        header: seq === 0 ? header : null,
        entries: part,
      },
    }));
    this.unackedFrames = new Map(unackedFrames.map((item) => [item.frame.seq, item]));
  }

  /** Whether the successor has acknowledged a frame, and so knows of the home. */
  get accepted(): boolean {
    return this.acknowledged;
  }

  /** Whether the successor has acknowledged all frames and results sent so far. */
  get finished(): boolean {
    return this.unackedFrames.size === 0 && this.unackedSettlements.size === 0;
  }

  /** Handles an event; returns the messages to send to the successor now. */
  apply(event: OutgoingHandoverEvent, now: Instant): readonly HandoverMessage[] {
    switch (event.kind) {
      case 'ack':
        this.acknowledged = true;
        this.unackedFrames.delete(event.seq);
        break;
      case 'settled-ack':
        this.unackedSettlements.delete(event.id);
        break;
      case 'settled':
        this.unackedSettlements.set(event.id, {
          message: this.settledMessage(event),
          sentAt: -Infinity,
        });
        break;
      case 'tick':
        break;
    }
    return this.due(now);
  }

  private settledMessage(
    event: Extract<OutgoingHandoverEvent, { kind: 'settled' }>,
  ): HandoverSettled {
    const { home, giver, heir } = this.parties;
    const { id, settlement } = event;
    return { kind: 'settled', home, giver, heir: heir.incarnation, id, settlement };
  }

  /** Returns the messages to send or repeat now, and marks them as sent. */
  private due(now: Instant): readonly HandoverMessage[] {
    const messages: HandoverMessage[] = [];
    let inFlight = 0;
    for (const item of this.unackedFrames.values()) {
      inFlight += 1;
      if (inFlight > MAX_FRAMES_IN_FLIGHT) break;
      if (item.sentAt + RESEND_INTERVAL_MS > now) continue;
      item.sentAt = now;
      messages.push(item.frame);
    }
    for (const item of this.unackedSettlements.values()) {
      inFlight += 1;
      if (inFlight > MAX_FRAMES_IN_FLIGHT * 2) break;
      if (item.sentAt + RESEND_INTERVAL_MS > now) continue;
      item.sentAt = now;
      messages.push(item.message);
    }
    return messages;
  }
}

/** A ledger of which all frames have arrived. */
export interface ReceivedLedger {
  readonly header: LedgerHeader;
  readonly entries: readonly LedgerEntry[];
  /** Results, by entry, of requests that were in flight when the ledger was sent. */
  readonly settlements: readonly (readonly [EntryId, Settlement])[];
}

/** Collects the frames of a ledger at the successor, in any order and with repetitions. */
export class IncomingHandover {
  private readonly frames = new Map<number, HandoverFrame>();

  private readonly settlements = new Map<EntryId, Settlement>();

  constructor(readonly predecessor: NodeIdentity) {}

  /** Adds a frame; one that was already received is replaced by its copy. */
  addFrame(addFrame: HandoverFrame): void {
    this.frames.set(addFrame.seq, addFrame);
  }

  /** Keeps the result of a request that was in flight, until the ledger is complete. */
  addSettlement(message: HandoverSettled): void {
    this.settlements.set(message.id, message.settlement);
  }

  /** Returns the ledger once all its frames have arrived; undefined before. */
  receivedLedger(): ReceivedLedger | undefined {
    const first = this.frames.get(0);
    if (!first?.header || this.frames.size < first.total) return undefined;
    const entries = [...this.frames.values()].flatMap((addFrame) => addFrame.entries);
    return { header: first.header, entries, settlements: [...this.settlements] };
  }
}
