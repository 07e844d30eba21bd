import { guarded } from '../../adapters/guarded';
import type { Incarnation, Member, Millis } from '../../model';

/** Timers that the exchange sets. */
export interface ExchangeTimers {
  after(millis: Millis, action: () => void): void;
  /** Calls `action` once all messages that have arrived by now are handled. */
  afterPendingInput(action: () => void): void;
}

/** Timers of this process; none of them keeps it from ending. */
export const systemTimers: ExchangeTimers = {
  after: (millis, action) => {
    setTimeout(guarded('freshness-ports timer', action), millis).unref();
  },
  afterPendingInput: (action) => {
    setImmediate(guarded('freshness-ports timer', action));
  },
};

/** Functions of the gateway that the exchange calls. */
export interface FreshnessPorts {
  /** Returns the key revocation time; undefined if no proof of the keys is needed. */
  revocationTime(): Millis | undefined;
  readonly self: Incarnation;
  members(): readonly Member[];
  /** Returns the gateway that sends the feeds to this one; undefined if none does. */
  source(): Incarnation | undefined;
  /** Whether this gateway reads the feeds at the store. */
  readsAtStore(): boolean;
  /** Reads the configuration at the store at once. */
  readStore(): Promise<void>;
}
