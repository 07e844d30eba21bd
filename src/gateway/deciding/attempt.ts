import { detached, guarded } from '../../adapters/guarded';
import { verdictOf, type AttemptOutcome } from '../../core/gateway';
import type { CostFeatures } from '../../core/cost';
import type { EvidenceKind, UpstreamStats } from '../../core/placement';
import { isIdempotent, type GatewayRoute, type Instant, type Millis } from '../../model';

import { headerOf } from '../sending/answer-parser';
import type { GatewayContext } from '../context';
import { isBrokenOff, refusesConnections } from '../sending/crash-check';
import type { CrashExchange } from '../peers/crash-exchange';
import type { CallerRequest } from '../request/caller-request';
import { encodeRequest, outcomeOf } from '../sending/forwarding';
import type { PathMonitor } from '../sending/path-monitor';
import type { PeerRelay } from '../sending/peer-relay';
import { digestOf } from '../request/request-digest';
import type { RetryGrant } from './request-retries';
import { budgetFieldsOf, type RequestLog } from './request-log';
import type { ServiceScheduler } from '../scheduling/service-scheduler';
import type { ExchangeResult } from '../sending/exchange';
import type { ConnectionPool } from '../sending/connection-pool';

/** Dependencies that all requests of a gateway share. */
export interface RequestContext extends GatewayContext {
  readonly pool: ConnectionPool;
  readonly log: RequestLog;
  readonly crashes: CrashExchange;
  readonly path: PathMonitor;
  readonly relay: PeerRelay;
  /** Sends the other gateways what an attempt that began at `sentAt` showed of an upstream. */
  readonly reportObservation: (
    scheduler: ServiceScheduler,
    stats: UpstreamStats,
    evidence: EvidenceKind,
    sentAt: Instant,
  ) => void;
}

/** One attempt to serve a request at one upstream. */
export interface UpstreamAttempt {
  readonly request: CallerRequest;
  readonly route: GatewayRoute;
  readonly scheduler: ServiceScheduler;
  readonly stats: UpstreamStats;
  /** Why this upstream was chosen; the log field `placed`. */
  readonly why: string;
  /** Ordinal of the attempt within its request, from 1. */
  readonly number: number;
  /** The retry that the budget last granted to the request; undefined if none. */
  readonly grant: RetryGrant | undefined;
  /** Whether the request is held back by now, as it crashes upstreams. */
  readonly isHeld: () => boolean;
  /** When the request is given up. */
  readonly deadline: Instant;
  readonly signal: AbortSignal;
}

/** Number of decimals of a probability in a log line. */
const PROBABILITY_DECIMALS = 3;

/** Returns what the cost of a request is learned from. */
export const costFeaturesOf = (
  { workspace, target, body }: CallerRequest,
  route: GatewayRoute,
): CostFeatures => ({
  route: route.name,
  workspace: workspace?.name,
  target,
  bodyBytes: body.length,
});

/** Status by which an upstream rejects work; other refusals don't depend on its queue. */
const SERVICE_UNAVAILABLE = 503;

/** Updates the state of an upstream by the result of an attempt that took `took` milliseconds. */
const recordResult = (
  { clock, headerConventions, reportObservation }: RequestContext,
  { request, scheduler, route, stats }: UpstreamAttempt,
  outcome: AttemptOutcome,
  result: ExchangeResult,
  took: Millis,
): void => {
  const { balancer } = scheduler;
  const now = clock.now();
  const verdict = verdictOf(outcome, took / balancer.meanLatency(route.name));
  stats.applyVerdict(verdict, now);
  if (verdict.kind === 'evidence')
    reportObservation(scheduler, stats, verdict.evidence, now - took);
  if (result.kind !== 'answered') return;
  const { head, body } = result;
  if (outcome.kind === 'served') {
    const bytes = body.kind === 'whole' ? body.bytes.length : (head.length ?? 0);
    balancer.costs.record(stats, request.id, costFeaturesOf(request, route), took, now);
    balancer.recordAnswer(stats, route.name, { latency: took, bytes });
  }
  const load = headerConventions.parseLoad((name) => headerOf(head.rawHeaders, name));
  const refused = outcome.kind === 'not-run' && head.status === SERVICE_UNAVAILABLE;
  if (refused || outcome.kind === 'served' || outcome.kind === 'failed')
    stats.recordTaken(request.id, refused, load, now);
  if (load) stats.recordReportedLoad(load.running, load.waiting, now);
};

/** Records a crash of the upstream while it ran the request. */
const reportCrash = (
  { telemetry, log, crashes }: RequestContext,
  { request, scheduler, stats }: UpstreamAttempt,
): void => {
  telemetry.count('upstream_crashes', { service: scheduler.name });
  log.logNotable('upstream-crashed', {
    request: request.id,
    digest: digestOf(request),
    service: scheduler.name,
    upstream: stats.upstream.id,
    inFlight: stats.inFlight,
  });
  crashes.recordCrash(request, stats.upstream);
};

/**
 * Sends a request to an upstream on which it already holds a slot, records the result and releases
 * the slot; with a streamed answer, at the end of the stream.
 */
export const runAttempt = async (
  context: RequestContext,
  attempt: UpstreamAttempt,
): Promise<{ readonly outcome: AttemptOutcome; readonly result: ExchangeResult }> => {
  const { clock, pool, telemetry, headerConventions } = context;
  const { request, route, scheduler, stats, why, number, grant, deadline, signal } = attempt;
  const { upstream } = stats;
  const idempotent = isIdempotent(route.kind);
  const sentAt = clock.now();
  const illBefore = Number(stats.faultProbability(sentAt).toFixed(PROBABILITY_DECIMALS));
  const evidenceAge = stats.evidenceAge(sentAt);
  const pending = stats.work.get(request.id);
  const overdue = setTimeout(
    guarded('attempt timer', () => {
      detached(
        'attempt',
        context.path.confirm().then((isGood) => {
          if (!isGood) return;
          stats.applyEvidence('slow', clock.now());
          context.reportObservation(scheduler, stats, 'slow', sentAt);
        }),
      );
    }),
    scheduler.balancer.overdueAfter(route.name),
  );
  const result = await pool.run(upstream, {
    requestId: request.id,
    method: request.method,
    bytes: () => encodeRequest(request, headerConventions, upstream.id, deadline - clock.now()),
    maySend: () =>
      clock.now() < deadline && stats.terms.mayStillSend(clock.now()) && !attempt.isHeld(),
    deadline,
    signal,
    caller: request.caller,
    requestEnded: request.signal,
    idempotent,
  });
  clearTimeout(overdue);
  if (result.kind === 'failed' && !result.sent && result.why.startsWith('connect'))
    context.path.recordFailedConnection();
  const took = clock.now() - sentAt;
  const outcome = outcomeOf(result, { id: request.id, idempotent }, headerConventions);
  if (outcome.kind === 'unknown') {
    detached(
      'attempt',
      context.path.confirm().then((isGood) => {
        if (isGood) recordResult(context, attempt, outcome, result, took);
      }),
    );
  } else recordResult(context, attempt, outcome, result, took);
  if (result.kind === 'answered' && result.body.kind === 'stream') {
    const { stream } = result.body;
    stream.once(
      'close',
      guarded('attempt close', () => scheduler.release(stats, request.id)),
    );
    if (outcome.kind === 'served')
      stream.once(
        'end',
        guarded('attempt end', () => context.crashes.recordAnswer(request)),
      );
  } else {
    scheduler.release(stats, request.id);
    if (outcome.kind === 'served') context.crashes.recordAnswer(request);
  }
  // A first attempt that succeeds is covered by the log line of its request.
  if (outcome.kind !== 'served' || number > 1) {
    context.log.logNotable('attempt', {
      request: request.id,
      route: route.name,
      service: scheduler.name,
      upstream: upstream.id,
      placed: why,
      number,
      outcome: outcome.kind,
      ...('why' in outcome ? { why: outcome.why } : {}),
      ...('status' in outcome ? { status: outcome.status } : {}),
      tookMs: Math.round(took),
      inFlight: stats.inFlight,
      ...(pending
        ? {
            expectedMs: Math.round(pending.cost.expectedMs),
            expectedWaitMs: Math.round(pending.wait),
          }
        : {}),
      queueLimit: stats.queueLimit.limit(clock.now()),
      illBefore,
      ...(evidenceAge === undefined ? {} : { evidenceAgeMs: Math.round(evidenceAge) }),
      ...(grant ? { ...budgetFieldsOf(grant), grantedMsAgo: Math.round(sentAt - grant.at) } : {}),
    });
  }
  telemetry.latency('attempt', took);
  telemetry.count('attempts', { service: scheduler.name, outcome: outcome.kind });
  if (
    isBrokenOff(result) &&
    (await refusesConnections(upstream.endpoint)) &&
    (await context.path.confirmRefusal())
  ) {
    reportCrash(context, attempt);
  }
  return { outcome, result };
};
