import { getHeapStatistics } from 'node:v8';

import { guarded } from '../../adapters/guarded';
import { bufferLimitOf, heapWeightOf, MemoryAccount, type Peer } from '../../core/memory';
import type { Instant, Millis } from '../../model';

import type { GatewayContext } from '../context';

/**
 * Time in milliseconds without progress after which the largest holder gives way, if others were
 * refused for want of memory.
 */
const STALL_MS: Millis = 1000;

/** Bytes that are kept for one purpose of a peer, such as an answer that is being collected. */
export interface Holding {
  readonly peer: Peer;
  /** Whether it still counts; false once it has given way or is closed. */
  readonly isOpen: boolean;
  /**
   * Counts what is held now in place of what was; the largest holder gives way if it is too much,
   * which may be this one. Returns whether this one is still open.
   */
  resize(bytes: number): boolean;
  /**
   * Counts what is yet to be held, unless there is no room for it; a peer that holds much more gives
   * way to something small of one that holds no more than its share. Returns whether it may be held.
   */
  claim(bytes: number, isSmall: boolean): boolean;
  /** Notes that bytes have arrived that were claimed before. */
  noteProgress(): void;
  /** Notes that nothing is to arrive, so that it doesn't count as stalled. */
  noteComplete(): void;
  /** Ends the count; closing it again has no effect. */
  close(): void;
}

/** A holding, with what ends it when memory is short. */
class OpenHolding implements Holding {
  isOpen = true;

  /** When it last grew. */
  progressAt: Instant = 0;

  constructor(
    private readonly memory: HostMemory,
    readonly peer: Peer,
    readonly onGiveWay: (isOverShare: boolean) => void,
  ) {}

  resize(bytes: number): boolean {
    if (this.isOpen) this.memory.resize(this, bytes);
    return this.isOpen;
  }

  claim(bytes: number, isSmall: boolean): boolean {
    return this.isOpen && this.memory.claim(this, bytes, isSmall);
  }

  noteProgress(): void {
    this.progressAt = this.memory.now();
  }

  noteComplete(): void {
    this.progressAt = Number.POSITIVE_INFINITY;
  }

  close(): void {
    if (this.isOpen) this.memory.close(this);
  }
}

/**
 * The account of all bytes that a host keeps for its peers, and the one rule for them: when memory is
 * short, the peer that holds most gives way with the largest of what is held for it.
 */
export class HostMemory {
  private readonly account: MemoryAccount<OpenHolding>;

  private stallTimer: NodeJS.Timeout | undefined;

  constructor(
    private readonly context: Pick<GatewayContext, 'clock' | 'settings' | 'telemetry'>,
    private readonly heapLimit = getHeapStatistics().heap_size_limit,
  ) {
    this.account = new MemoryAccount(() => this.limit);
  }

  /** Total number of bytes held. */
  get total(): number {
    return this.account.total;
  }

  /** Number of bytes that bytes of the heap count for. */
  heapBytes(bytes: number): number {
    return Math.ceil(bytes * heapWeightOf(this.limit, this.heapLimit));
  }

  /**
   * Begins to count something that is held for a peer. `onGiveWay` has to let go of it; it is called
   * once at most, when it is closed already, and gets whether its peer held more than its share.
   */
  open(peer: Peer, onGiveWay: (isOverShare: boolean) => void): Holding {
    return new OpenHolding(this, peer, onGiveWay);
  }

  now(): Instant {
    return this.context.clock.now();
  }

  resize(holding: OpenHolding, bytes: number): void {
    if (bytes > this.account.bytesOf(holding)) holding.noteProgress();
    this.account.resize(holding, bytes);
    while (this.account.isOverLimit) {
      if (!this.giveWay('limit')) return;
    }
  }

  claim(holding: OpenHolding, bytes: number, isSmall: boolean): boolean {
    const more = bytes - this.account.bytesOf(holding);
    if (more > 0 && !this.makeRoom(holding, more, isSmall)) {
      this.stallTimer ??= this.startStallTimer();
      return false;
    }
    this.resize(holding, bytes);
    return holding.isOpen;
  }

  /** Whether there is room for more, once others that are in the way of something small are gone. */
  private makeRoom(holding: OpenHolding, more: number, isSmall: boolean): boolean {
    if (this.account.hasRoomFor(more)) return true;
    if (!isSmall || !this.account.isWithinShare(holding, more)) return false;
    while (!this.account.hasRoomFor(more, isSmall)) {
      const inTheWay = this.account.holderInTheWay();
      if (!inTheWay || inTheWay === holding) return false;
      this.letGo(inTheWay, 'limit');
    }
    return true;
  }

  close(holding: OpenHolding): void {
    this.account.resize(holding, 0);
    Object.assign(holding, { isOpen: false });
  }

  /** Has the largest holder give way; returns whether there was one. */
  giveWay(why: 'limit' | 'stalled' | 'heap'): boolean {
    const holding = this.account.largestHolder();
    if (holding) this.letGo(holding, why);
    return holding !== undefined;
  }

  private letGo(holding: OpenHolding, why: 'limit' | 'stalled' | 'heap'): void {
    const { kind, id } = holding.peer;
    const isOverShare = this.account.holdsMuch(holding);
    this.context.telemetry.count('memory_given_up', { peer: kind, why });
    this.context.telemetry.event('memory-given-up', {
      why,
      peer: kind,
      id,
      bytes: this.account.bytesOf(holding),
      total: this.account.total,
    });
    this.close(holding);
    holding.onGiveWay(isOverShare);
  }

  /** Sets the gauges of what is held. */
  report(): void {
    const { telemetry } = this.context;
    (['caller', 'upstream', 'gateway', 'store'] as const).forEach((peer) =>
      telemetry.gauge('held_bytes', this.account.bytesOfKind(peer), { peer }),
    );
  }

  private get limit(): number {
    return bufferLimitOf(this.context.settings.limits.memoryBytes);
  }

  /** Has the largest holder give way in a moment, if it makes no progress until then. */
  private startStallTimer(): NodeJS.Timeout {
    const check = guarded('host-memory timer', () => {
      this.stallTimer = undefined;
      const holding = this.account.largestHolder();
      if (holding && this.now() - holding.progressAt >= STALL_MS) this.giveWay('stalled');
    });
    return setTimeout(check, STALL_MS).unref();
  }
}
