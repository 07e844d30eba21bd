import type { Instant, Millis, NodeAddress, Tip } from '../../model';

import type { PositionedConfig } from './fold';
import type { ConfigMessage } from './message';
import { SnapshotAssembly } from './snapshot';

/** Time after which a request without an answer is repeated. */
const RETRY_AFTER_MS: Millis = 600;
/** Number of repetitions of a request for a part before the transfer is given up. */
const MAX_RETRY_COUNT = 3;

type PartMessage = Extract<ConfigMessage, { kind: 'part' }>;

/** `asked`: changes were requested; `transfer`: parts of a snapshot are being fetched. */
type CatchUpState =
  | { readonly kind: 'idle' }
  | { readonly kind: 'asked'; readonly until: Instant }
  | {
      readonly kind: 'transfer';
      readonly peer: NodeAddress;
      readonly assembly: SnapshotAssembly;
      readonly retryAt: Instant;
      readonly retryCount: number;
    };

/** A part of a snapshot to request from a peer. */
export interface PartRequest {
  readonly peer: NodeAddress;
  readonly tip: Tip;
  readonly part: number;
}

const sameTip = (a: Tip, b: Tip): boolean =>
  a.version === b.version && a.chain === b.chain && a.through === b.through;

/** State of fetching newer changes or a newer snapshot from a peer. Immutable. */
export class CatchUp {
  static readonly idle = new CatchUp({ kind: 'idle' });

  private constructor(private readonly state: CatchUpState) {}

  /** Returns the state after changes have been requested at `now`. */
  static changesRequested(now: Instant): CatchUp {
    return new CatchUp({ kind: 'asked', until: now + RETRY_AFTER_MS });
  }

  /** Returns whether changes may be requested; one request is in flight at a time. */
  mayRequestChanges(now: Instant): boolean {
    const { state } = this;
    return state.kind === 'idle' || (state.kind === 'asked' && now >= state.until);
  }

  /** Adds a part of a snapshot; ignores parts out of order and snapshots that are not newer. */
  addPart(message: PartMessage, own: Tip, now: Instant): CatchUp {
    if (message.tip.version <= own.version || message.tip.through < own.through) return this;
    const assembly = this.assemblyFor(message);
    if (!assembly || assembly.next !== message.part) return this;
    return new CatchUp({
      kind: 'transfer',
      peer: message.from,
      assembly: assembly.add(message.entries),
      retryAt: now + RETRY_AFTER_MS,
      retryCount: 0,
    });
  }

  /** Returns the next part to request; undefined without a transfer or when it is complete. */
  wanted(): PartRequest | undefined {
    if (this.state.kind !== 'transfer' || this.state.assembly.complete) return undefined;
    const { peer, assembly } = this.state;
    return { peer, tip: assembly.tip, part: assembly.next };
  }

  /** Returns the part to request again, if due, and the state after requesting or giving up. */
  retry(now: Instant): { readonly next: CatchUp; readonly wanted: PartRequest | undefined } {
    const { state } = this;
    if (state.kind !== 'transfer' || now < state.retryAt) {
      return { next: this, wanted: undefined };
    }
    if (state.retryCount >= MAX_RETRY_COUNT) return { next: CatchUp.idle, wanted: undefined };
    const next = new CatchUp({
      ...state,
      retryAt: now + RETRY_AFTER_MS,
      retryCount: state.retryCount + 1,
    });
    return { next, wanted: this.wanted() };
  }

  /** Returns the configuration once all parts have arrived; undefined before. */
  result(): PositionedConfig | undefined {
    if (this.state.kind !== 'transfer' || !this.state.assembly.complete) return undefined;
    return this.state.assembly.result();
  }

  /** Drops a transfer of a snapshot that is not newer than `own`. */
  dropIfReached(own: Tip): CatchUp {
    const { state } = this;
    const behind = state.kind === 'transfer' && state.assembly.tip.version <= own.version;
    return behind ? CatchUp.idle : this;
  }

  private assemblyFor(message: PartMessage): SnapshotAssembly | undefined {
    const { state } = this;
    if (state.kind === 'transfer' && sameTip(state.assembly.tip, message.tip)) {
      return state.assembly;
    }
    return message.part === 0 ? SnapshotAssembly.begin(message.tip, message.parts) : undefined;
  }
}
