import type { RetryPurpose, RetryStanding } from '../../core/gateway';
import type { Instant } from '../../model';

import type { GatewayContext } from '../context';
import type { ServiceScheduler } from '../scheduling/service-scheduler';

/** A retry that the budget has granted; `at` is when. */
export interface RetryGrant extends RetryStanding {
  readonly at: Instant;
}

/** Asks the retry budget of a service for the retries of one request. */
export class RequestRetries {
  /** The last retry that was granted; undefined before the first. */
  lastGrant: RetryGrant | undefined;

  /** What was left of the budget when it last refused a retry; undefined if it has not. */
  refusal: RetryStanding | undefined;

  constructor(
    private readonly context: Pick<GatewayContext, 'clock' | 'telemetry'>,
    private readonly scheduler: Pick<ServiceScheduler, 'name' | 'retryBudget'>,
    /** The request's priority; 0 is the most urgent. */
    private readonly priority: number,
  ) {}

  /** Records the request, which adds to what the budget allows. */
  recordRequest(): void {
    this.scheduler.retryBudget.recordRequest(this.context.clock.now());
  }

  /**
   * Whether the request may be offered to another gateway, which records it as its own request and
   * its first attempt as no retry. `isRepeat` if an upstream may have run it through another one.
   */
  mayOffer(isRepeat: boolean): boolean {
    if (isRepeat && !this.take('failed')) return false;
    this.scheduler.retryBudget.withdrawRequest(this.context.clock.now());
    return true;
  }

  /** Takes a retry from the budget; false if none is left. */
  take(purpose: RetryPurpose): boolean {
    const { clock, telemetry } = this.context;
    const { name, retryBudget } = this.scheduler;
    const now = clock.now();
    const isGranted = retryBudget.take(now, purpose, this.priority);
    const standing = retryBudget.standing(now);
    if (isGranted) this.lastGrant = { ...standing, at: now };
    else this.refusal = standing;
    const result = isGranted ? 'granted' : 'refused';
    telemetry.count('retries', { service: name, purpose, result });
    return isGranted;
  }
}
