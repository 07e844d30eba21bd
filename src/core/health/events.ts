import type {
  AttemptResult,
  Instant,
  Millis,
  ServiceRules,
  Upstream,
  UpstreamId,
} from '../../model';

/** Where a probe is sent from. */
export type ProbeOrigin = 'self' | 'other-data-centre';

/** What the owner of a shard tells its health decisions. */
export type HealthEvent =
  | { readonly kind: 'attempt-started'; readonly upstream: UpstreamId; readonly attempt: string }
  /** The attempt has to open a connection; an attempt on an open one skips this and the next. */
  | { readonly kind: 'attempt-connecting'; readonly upstream: UpstreamId; readonly attempt: string }
  | { readonly kind: 'attempt-connected'; readonly upstream: UpstreamId; readonly attempt: string }
  | {
      readonly kind: 'attempt-ended';
      readonly upstream: UpstreamId;
      readonly attempt: string;
      readonly result: AttemptResult;
    }
  | {
      readonly kind: 'probe-answered';
      readonly upstream: UpstreamId;
      readonly from: ProbeOrigin;
      readonly result: AttemptResult;
    }
  | { readonly kind: 'upstreams-changed'; readonly upstreams: readonly Upstream[] }
  | { readonly kind: 'rules-changed'; readonly rules: ServiceRules }
  /** How late this process's event loop ran its last timer. */
  | { readonly kind: 'self-observed'; readonly loopLag: Millis }
  /** Due every 50 to 100 ms. */
  | { readonly kind: 'tick' };

/** Whether an upstream gets work. */
export type HealthState =
  | { readonly kind: 'healthy' }
  /**
   * Under a sequential test: no new work before `trialAt`, then one attempt at a time.
   * `degraded` when the floor forbids that; it then keeps a lower share.
   */
  | { readonly kind: 'suspect'; readonly trialAt: Instant; readonly degraded: boolean }
  /** No work; probes begin at `until`. */
  | { readonly kind: 'ejected'; readonly until: Instant }
  /** Back from ejection: one attempt at a time, then a ramp that ends at `fullAt`. */
  | { readonly kind: 'probation'; readonly startAt: Instant; readonly fullAt: Instant | undefined }
  /** Healthy as seen from another data centre, unreachable from here. */
  | { readonly kind: 'link-fault'; readonly probeAt: Instant }
  /** It said that it drains; it is out until it answers again. */
  | { readonly kind: 'leaving'; readonly probeAt: Instant }
  /** It said that it is cold, or is new: a ramp from `since` to `fullAt`. */
  | { readonly kind: 'cold'; readonly since: Instant; readonly fullAt: Instant };

/** Why a standing changed. */
export type HealthStateReason =
  | 'failures'
  | 'slow'
  | 'stalled'
  | 'unreachable'
  | 'unreachable-from-here'
  | 'trial-failed'
  | 'trial-passed'
  | 'probe-answered'
  | 'ramp-ended'
  | 'draining'
  | 'cold'
  | 'floor';

/**
 * Why an ejection was not carried out. `floor-invariant` tells of a fault in this program: the
 * last check found what the review should have.
 */
export type EjectionRefusal = 'floor' | 'floor-invariant' | 'many-at-once' | 'local-health';

/** What the owner is to do. */
export type HealthEffect =
  /** Send a probe; its end comes back as `probe-answered`, at the deadline as a timeout. */
  | {
      readonly kind: 'probe';
      readonly upstream: UpstreamId;
      readonly from: ProbeOrigin;
      readonly deadline: Instant;
    }
  | {
      readonly kind: 'standing-changed';
      readonly upstream: UpstreamId;
      readonly from: HealthState;
      readonly to: HealthState;
      readonly reason: HealthStateReason;
    }
  | {
      readonly kind: 'ejection-refused';
      readonly upstream: UpstreamId;
      readonly reason: EjectionRefusal;
    };
