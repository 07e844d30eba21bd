/** The two ends of a handover: a holder that gives its identity away, and the heir it names. */
import type { Incarnation, Instant, Millis, NodeIdentity } from '../../model';

import type { HandoverFrame, HandoverMessage, HandoverSettled } from './handover-message';
import type { LedgerHeader } from './ledger';
import { type EntryId, type LedgerEntry, type Settlement, bodyBytes } from './ledger-entry';

const FRAME_BODY_BYTES = 65_536;
const FRAME_ENTRIES = 256;
const RESEND_INTERVAL: Millis = 250;
const FRAMES_IN_FLIGHT = 16;

/** Splits entries into runs that fit a frame. */
const chunk = (entries: Iterable<LedgerEntry>): readonly (readonly LedgerEntry[])[] => {
  const chunks: LedgerEntry[][] = [];
  let last: LedgerEntry[] = [];
  let bytes = 0;
  for (const entry of entries) {
    const size = bodyBytes(entry.settlement);
    if (last.length === FRAME_ENTRIES || bytes + size > FRAME_BODY_BYTES) {
      chunks.push(last);
      last = [];
      bytes = 0;
    }
    last.push(entry);
    bytes += size;
  }
  return [...chunks, last];
};

export type OutgoingHandoverEvent =
  | { readonly kind: 'ack'; readonly seq: number }
  | { readonly kind: 'settled'; readonly id: EntryId; readonly settlement: Settlement }
  | { readonly kind: 'settled-ack'; readonly id: EntryId }
  | { readonly kind: 'tick' };

/** What a handover is about. */
export interface HandoverSubject {
  readonly home: Incarnation;
  readonly hops: number;
  readonly giver: NodeIdentity;
  readonly heir: NodeIdentity;
}

/** The holder's end: sends the ledger to one heir, each part again until it is acknowledged. */
export class OutgoingHandover {
  /** The parts not yet acknowledged, with the time when each was last sent. */
  private readonly frames: Map<number, { readonly frame: HandoverFrame; sentAt: Instant }>;

  private readonly settled = new Map<
    EntryId,
    { readonly message: HandoverSettled; sentAt: Instant }
  >();

  private acknowledged = false;

  constructor(
    readonly subject: HandoverSubject,
    header: LedgerHeader,
    entries: Iterable<LedgerEntry>,
  ) {
    const { home, hops, giver, heir } = subject;
    const parts = chunk(entries);
    const frames = parts.map((part, seq) => ({
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
    this.frames = new Map(frames.map((item) => [item.frame.seq, item]));
  }

  /** Whether the heir has acknowledged anything, and so knows of the home. */
  get accepted(): boolean {
    return this.acknowledged;
  }

  /** Whether the heir has acknowledged all that was sent so far. */
  get finished(): boolean {
    return this.frames.size === 0 && this.settled.size === 0;
  }

  /** Messages to the heir. */
  apply(event: OutgoingHandoverEvent, now: Instant): readonly HandoverMessage[] {
    switch (event.kind) {
      case 'ack':
        this.acknowledged = true;
        this.frames.delete(event.seq);
        break;
      case 'settled-ack':
        this.settled.delete(event.id);
        break;
      case 'settled':
        this.settled.set(event.id, { message: this.settledMessage(event), sentAt: -Infinity });
        break;
      case 'tick':
        break;
    }
    return this.due(now);
  }

  private settledMessage(
    event: Extract<OutgoingHandoverEvent, { kind: 'settled' }>,
  ): HandoverSettled {
    const { home, giver, heir } = this.subject;
    const { id, settlement } = event;
    return { kind: 'settled', home, giver, heir: heir.incarnation, id, settlement };
  }

  private due(now: Instant): readonly HandoverMessage[] {
    const messages: HandoverMessage[] = [];
    let inFlight = 0;
    for (const item of this.frames.values()) {
      inFlight += 1;
      if (inFlight > FRAMES_IN_FLIGHT) break;
      if (item.sentAt + RESEND_INTERVAL > now) continue;
      item.sentAt = now;
      messages.push(item.frame);
    }
    for (const item of this.settled.values()) {
      inFlight += 1;
      if (inFlight > FRAMES_IN_FLIGHT * 2) break;
      if (item.sentAt + RESEND_INTERVAL > now) continue;
      item.sentAt = now;
      messages.push(item.message);
    }
    return messages;
  }
}

/** A ledger that has arrived whole. */
export interface ReceivedLedger {
  readonly header: LedgerHeader;
  readonly entries: readonly LedgerEntry[];
  /** Ends of requests that were in flight when the ledger was sent. */
  readonly settled: readonly (readonly [EntryId, Settlement])[];
}

/** The heir's end: collects the parts in any order, each as often as it comes. */
export class IncomingHandover {
  private readonly frames = new Map<number, HandoverFrame>();

  private readonly settled = new Map<EntryId, Settlement>();

  constructor(readonly predecessor: NodeIdentity) {}

  frame(frame: HandoverFrame): void {
    this.frames.set(frame.seq, frame);
  }

  settle(message: HandoverSettled): void {
    this.settled.set(message.id, message.settlement);
  }

  /** The ledger, once all its parts are here. */
  whole(): ReceivedLedger | undefined {
    const first = this.frames.get(0);
    if (!first?.header || this.frames.size < first.total) return undefined;
    const entries = [...this.frames.values()].flatMap((frame) => frame.entries);
    return { header: first.header, entries, settled: [...this.settled] };
  }
}
