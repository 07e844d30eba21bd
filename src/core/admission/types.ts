import type { CallId, Instant, Millis, Refusal, UpstreamId, WorkspaceName } from '../../model';

/** An attempt that requests a slot. */
export interface Offer {
  readonly callId: CallId;
  readonly workspace: WorkspaceName;
  /** Weight of the workspace relative to the others; above 0. */
  readonly weight: number;
  readonly deadline: Instant;
  /** Upstreams that tried the call and are not used again. If any, the attempt queues first. */
  readonly exclude: readonly UpstreamId[];
  /** Whether the attempt may queue; true when left out. */
  readonly mayWait?: boolean | undefined;
}

/** A queued attempt. */
export interface QueuedAttempt {
  readonly offer: Offer;
  /** Latest start from which the attempt is expected to end before its deadline. */
  readonly startBy: Instant;
}

/** The slots of an upstream and the share of them, 0 to 1, that its health allows. */
export interface UpstreamCapacity {
  readonly id: UpstreamId;
  readonly slots: number;
  readonly share: number;
}

/** An input to the admission of one shard. */
export type AdmissionEvent =
  | ({ readonly kind: 'offered' } & Offer)
  /** A started attempt ended. `latency` in milliseconds is 0 without a complete answer. */
  | { readonly kind: 'released'; readonly upstream: UpstreamId; readonly latency: Millis }
  /** The caller disconnected; its queued attempt, if any, is dropped. */
  | { readonly kind: 'withdrawn'; readonly callId: CallId }
  /** Lists all upstreams of the shard; others get no new work. */
  | { readonly kind: 'upstreams-changed'; readonly upstreams: readonly UpstreamCapacity[] }
  | { readonly kind: 'queue-limit-changed'; readonly queuePerSlot: number }
  | { readonly kind: 'tick' };

/** A decision about an offered attempt. */
export type AdmissionEffect =
  /** Sends the attempt to this upstream, whose slot is held until `released`. */
  | { readonly kind: 'start'; readonly callId: CallId; readonly upstream: UpstreamId }
  /** Refuses the attempt. The outcome does not cover earlier attempts of the call. */
  | { readonly kind: 'refuse'; readonly callId: CallId; readonly outcome: Refusal };
