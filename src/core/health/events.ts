import type {
  AttemptResult,
  Instant,
  Millis,
  ServiceRules,
  Upstream,
  UpstreamId,
} from '../../model';

/** The place a probe is sent from: this node, or a node in another data centre. */
export type ProbeOrigin = 'self' | 'other-data-centre';

/** An input to the health decisions, reported by the owner of the shard. */
export type HealthEvent =
  | { readonly kind: 'attempt-started'; readonly upstream: UpstreamId; readonly attempt: string }
  /** The attempt opens a connection. Absent, like the next event, on a reused connection. */
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
  /** Delay in milliseconds with which the event loop of this process ran its last timer. */
  | { readonly kind: 'self-observed'; readonly loopLag: Millis }
  /** The owner sends one every 50 to 100 ms. */
  | { readonly kind: 'tick' };

/** The health state of an upstream, which decides how much work it gets. */
export type HealthState =
  | { readonly kind: 'healthy' }
  /**
   * A sequential test decides about the upstream: it gets no new work before `trialAt`, then one
   * attempt at a time. If the capacity floor needs its slots, it is `degraded` instead and keeps a
   * reduced share.
   */
  | { readonly kind: 'suspect'; readonly trialAt: Instant; readonly degraded: boolean }
  /** The upstream gets no work; probes begin at `until`. */
  | { readonly kind: 'ejected'; readonly until: Instant }
  /**
   * The upstream answered a probe after an ejection: it gets one attempt at a time, then a share
   * that grows until `fullAt`. `fullAt` is undefined until the trial is passed.
   */
  | { readonly kind: 'probation'; readonly startAt: Instant; readonly fullAt: Instant | undefined }
  /**
   * Another data centre reaches the upstream and this node does not; no work until probed again.
   */
  | { readonly kind: 'link-fault'; readonly probeAt: Instant }
  /** The upstream reported that it drains; it gets no work until it answers a probe. */
  | { readonly kind: 'leaving'; readonly probeAt: Instant }
  /** The upstream is new or reported that it is cold; its share grows from `since` to `fullAt`. */
  | { readonly kind: 'cold'; readonly since: Instant; readonly fullAt: Instant };

/** The reason for a change of the health state. */
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
 * The reason why an ejection was refused. `floor-invariant` indicates a bug: the review allowed an
 * ejection that the final check against the capacity floor rejected.
 */
export type EjectionRefusal = 'floor' | 'floor-invariant' | 'many-at-once' | 'local-health';

/** An action for the owner of the shard to carry out. */
export type HealthEffect =
  /**
   * Sends a probe; the owner reports its result, or a timeout at the deadline, as `probe-answered`.
   */
  | {
      readonly kind: 'probe';
      readonly upstream: UpstreamId;
      readonly from: ProbeOrigin;
      readonly deadline: Instant;
    }
  /** Reports that the health state changed. */
  | {
      readonly kind: 'standing-changed';
      readonly upstream: UpstreamId;
      readonly from: HealthState;
      readonly to: HealthState;
      readonly reason: HealthStateReason;
    }
  /** Reports that an ejection was refused; sent once until the health state changes. */
  | {
      readonly kind: 'ejection-refused';
      readonly upstream: UpstreamId;
      readonly reason: EjectionRefusal;
    };
