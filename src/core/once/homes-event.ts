/** What the homes of a node are told, and what they ask for. */
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

/** A homed call whose body has been read. */
export interface HomedCall {
  readonly callId: CallId;
  readonly home: Incarnation;
  readonly ref: KeyRef;
  readonly fingerprint: Fingerprint;
  readonly deadline: Instant;
}

export type HomesEvent =
  | { readonly kind: 'call'; readonly call: HomedCall }
  /** Refuses a key whose body can't be read. */
  | {
      readonly kind: 'refuse';
      readonly callId: CallId;
      readonly home: Incarnation;
      readonly ref: KeyRef;
      readonly reason: NotRunReason;
    }
  /** The caller's deadline has come, or it is gone. */
  | { readonly kind: 'leave'; readonly callId: CallId }
  | {
      readonly kind: 'settle';
      readonly home: Incarnation;
      readonly id: EntryId;
      readonly settlement: Settlement;
    }
  /** A planned stop: all homes here go to `heir`. A second stop changes nothing. */
  | { readonly kind: 'stop'; readonly successor: NodeIdentity }
  | { readonly kind: 'message'; readonly message: HandoverMessage }
  | { readonly kind: 'member-dead'; readonly incarnation: Incarnation }
  | { readonly kind: 'tick' };

export type HomesEffect =
  /** Run the call, once, and report its end as a `settle` event. */
  | {
      readonly kind: 'run';
      readonly callId: CallId;
      readonly home: Incarnation;
      readonly id: EntryId;
    }
  | { readonly kind: 'replay'; readonly callId: CallId; readonly answer: KeptAnswer }
  | { readonly kind: 'refuse'; readonly callId: CallId; readonly outcome: Refusal }
  | { readonly kind: 'forward'; readonly callId: CallId; readonly to: NodeIdentity }
  /** This node is not the home and has never been. */
  | { readonly kind: 'not-here'; readonly callId: CallId }
  | { readonly kind: 'send'; readonly to: NodeIdentity; readonly message: HandoverMessage }
  | { readonly kind: 'announce'; readonly successor: SuccessorRecord };
