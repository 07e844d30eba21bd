import { setTimeout as sleep } from 'node:timers/promises';

import { detached, guarded } from '../../adapters/guarded';
import { purposeOfHedge, type AttemptOutcome, type RetryPurpose } from '../../core/gateway';
import type { Millis } from '../../model';
import type { Clock } from '../../ports';

import { discardAnswer, type GatewayReply } from '../sending/gateway-reply';

/** Outcome of an attempt, and the reply to pass on if the attempt was successful. */
export interface AttemptResult {
  readonly outcome: AttemptOutcome;
  readonly reply?: GatewayReply;
}

/** An attempt in progress. */
export interface RunningAttempt {
  readonly ended: Promise<AttemptResult>;
  readonly cancel: () => void;
}

/** Starts what may be cancelled by itself, and is when the caller leaves. */
export const startCancellable = (
  callerLeft: AbortSignal,
  run: (signal: AbortSignal) => Promise<AttemptResult>,
): RunningAttempt => {
  const controller = new AbortController();
  const cancel = guarded('hedging abort', () => controller.abort());
  if (callerLeft.aborted) cancel();
  callerLeft.addEventListener('abort', cancel, { once: true });
  const ended = run(controller.signal).finally(() =>
    callerLeft.removeEventListener('abort', cancel),
  );
  return { ended, cancel };
};

/** A hedge starts when an attempt has taken this multiple of the mean latency of the route. */
const HEDGE_LATENCY_RATIO = 2.5;
/** Time until another try to start a hedge, as a multiple of the mean latency of the route. */
const HEDGE_RETRY_LATENCY_RATIO = 1;

/** What hedging an attempt needs. */
export interface HedgePorts {
  readonly clock: Clock;
  /** Returns the mean latency of the request's route. */
  meanLatency(): Millis;
  /**
   * Starts a hedge; undefined if no upstream is free, or none proven healthy if `provenOnly`, or if
   * the retry budget is spent.
   */
  startHedge(provenOnly: boolean, purpose: RetryPurpose): RunningAttempt | undefined;
}

/**
 * Starts a hedge as soon as the attempt is slow and a hedge can be started; undefined if the
 * attempt ends before that. Load pattern: an upstream crashes without closing its connections
 * while no proven upstream is free or the retry budget is spent, so that a single try at a hedge
 * would leave the request waiting until its deadline. Later tries accept any upstream.
 */
const startHedgeWhenSlow = async (
  first: RunningAttempt,
  ports: HedgePorts,
): Promise<RunningAttempt | undefined> => {
  const { clock } = ports;
  const hasEnded = first.ended.then(() => true);
  let delay = HEDGE_LATENCY_RATIO * ports.meanLatency();
  const startedAt = clock.now();
  let isFirstTry = true;
  for (;;) {
    const timer = new AbortController();
    const isOver = await Promise.race([
      hasEnded,
      sleep(delay, false, { signal: timer.signal }).catch(() => true),
    ]);
    timer.abort();
    if (isOver) return undefined;
    const purpose = purposeOfHedge(clock.now() - startedAt, ports.meanLatency());
    const hedge = ports.startHedge(isFirstTry, purpose);
    if (hedge) return hedge;
    isFirstTry = false;
    delay = HEDGE_RETRY_LATENCY_RATIO * ports.meanLatency();
  }
};

/**
 * Waits for an attempt, and starts a second one (a hedge) beside it if it takes unusually long; the
 * first good answer wins. This covers upstreams that hang or have become slow before any gateway
 * has detected it.
 */
export const endWithHedge = async (
  first: RunningAttempt,
  ports: HedgePorts,
): Promise<AttemptResult> => {
  const second = await startHedgeWhenSlow(first, ports);
  if (!second) return first.ended;
  const winner = await Promise.race(
    [first, second].map(async (attempt) => ({
      attempt,
      end: await attempt.ended,
    })),
  );
  const other = winner.attempt === first ? second : first;
  if (!winner.end.reply) return other.ended;
  other.cancel();
  detached(
    'hedging',
    other.ended.then(({ reply }) => reply && discardAnswer(reply)),
  );
  return winner.end;
};
