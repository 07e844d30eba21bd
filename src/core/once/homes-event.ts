/** Events that the homes of a node handle, and effects that they return. */
import type {
  CallId,
  Incarnation,
  Instant,
  NodeIdentity,
  NotRunReason,
  Refusal,
} from '../../model';

import type { HandoverMessage, SuccessorRecord } from './handover-message';
import type { EntryId, Fingerprint, KeptAnswer, KeyRef, Settlement } from './ledger-entry';

/** A call with a homed key whose request body has been read. */
export interface HomedCall {
  readonly callId: CallId;
  readonly home: Incarnation;
  readonly ref: KeyRef;
  readonly fingerprint: Fingerprint;
  readonly deadline: Instant;
}

/** Events that the homes of a node handle. */
export type HomesEvent =
  | { readonly kind: 'call'; readonly call: HomedCall }
  /** Refuse a key whose request body cannot be read. */
  | {
      readonly kind: 'refuse';
      readonly callId: CallId;
      readonly home: Incarnation;
      readonly ref: KeyRef;
      readonly reason: NotRunReason;
    }
  /** The caller's deadline has passed, or the caller has disconnected. */
  | { readonly kind: 'leave'; readonly callId: CallId }
  /** The run of a request has ended with `settlement`. */
  | {
      readonly kind: 'settle';
      readonly home: Incarnation;
      readonly id: EntryId;
      readonly settlement: Settlement;
    }
  /** Planned stop: hand all homes to `successor`. A second `stop` has no effect. */
  | { readonly kind: 'stop'; readonly successor: NodeIdentity }
  | { readonly kind: 'message'; readonly message: HandoverMessage }
  | { readonly kind: 'member-dead'; readonly incarnation: Incarnation }
  | { readonly kind: 'tick' };

/** Effects that the homes of a node ask for. */
export type HomesEffect =
  /** Run the call once and report its result as a `settle` event. */
  | {
      readonly kind: 'run';
      readonly callId: CallId;
      readonly home: Incarnation;
      readonly id: EntryId;
    }
  | { readonly kind: 'replay'; readonly callId: CallId; readonly answer: KeptAnswer }
  | { readonly kind: 'refuse'; readonly callId: CallId; readonly outcome: Refusal }
  | { readonly kind: 'forward'; readonly callId: CallId; readonly to: NodeIdentity }
  /** This node does not hold the home and is not receiving it. */
  | { readonly kind: 'not-here'; readonly callId: CallId }
  | { readonly kind: 'send'; readonly to: NodeIdentity; readonly message: HandoverMessage }
  /** Tell all peers which node now handles the home's keys. */
  | { readonly kind: 'announce'; readonly successor: SuccessorRecord };
