import { performance } from 'node:perf_hooks';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

import type { CostFeatures, RequestCost } from '../../src/core/cost';
import { LoadBalancer, type PlacementRequest, type UpstreamStats } from '../../src/core/placement';

import { EventQueue } from './events';
import {
  BASE_WORK_MS,
  LARGE_FLEET_HOSTS,
  meanWork,
  objectiveOf,
  SLOT_COUNT,
  TAIL_RATIO,
  type Scenario,
} from './scenario';
import { SimulatedUpstream } from './server';

export type Rule = 'today' | 'learned' | 'oracle';

export interface Result {
  /** Ratio of requests that were late or failed. */
  readonly lateRatio: number;
  readonly meanMs: number;
  readonly p99Ms: number;
  /** Mean processor time of a decision. */
  readonly decisionMicros: number;
}

/** Time of a message between a gateway and an upstream. */
const NETWORK_MS = 1;
const WARM_UP_MS = 8000;
const MEASURED_MS = 12_000;
/** The same for fleets of at least `LARGE_FLEET_HOSTS`, whose runs take minutes. */
const LARGE_WARM_UP_MS = 3000;
const LARGE_MEASURED_MS = 2000;
const RETRY_MS = 25;
/** Interval at which all gateways learn that the upstreams are healthy and in use. */
const TICK_MS = 1000;
/** Standard deviation of the logarithm of the work within a class. */
const NOISE = 0.25;
const DEADLINE_RATIO = 3;
const OVERDUE_MS = 1e9;

interface SimulatedRequest {
  readonly id: string;
  readonly work: number;
  readonly features: CostFeatures;
  readonly arrivedAt: number;
}

class Simulation {
  private readonly events = new EventQueue();

  private readonly servers = new Map<string, SimulatedUpstream>();

  private readonly balancers: readonly LoadBalancer[];

  private readonly times: number[] = [];

  private lateCount = 0;

  private endedCount = 0;

  private decisionCount = 0;

  private decisionTime = 0;

  private readonly warmedUpAt: number;

  private readonly endsAt: number;

  private readonly draw: () => number;

  private readonly drawRule: () => number;

  constructor(
    private readonly scenario: Scenario,
    private readonly rule: Rule,
    seed: number,
  ) {
    const isLarge = scenario.hosts >= LARGE_FLEET_HOSTS;
    this.warmedUpAt = isLarge ? LARGE_WARM_UP_MS : WARM_UP_MS;
    this.endsAt = this.warmedUpAt + (isLarge ? LARGE_MEASURED_MS : MEASURED_MS);
    // The arrivals are drawn apart from the decisions, so that all rules get the same requests.
    const rng = xoroshiro128plus(seed);
    const ruleRng = xoroshiro128plus(seed + 1000);
    this.draw = () => uniformFloat64(rng);
    this.drawRule = () => uniformFloat64(ruleRng);
    this.balancers = Array.from(
      { length: scenario.hosts },
      () => new LoadBalancer('shop', 'a', () => 0.85, this.drawRule),
    );
    for (let i = 0; i < scenario.upstreams; i++) this.addUpstream(i);
  }

  private addUpstream(i: number): void {
    const { speeds } = this.scenario;
    const id = `u${i}`;
    const speed = speeds[i % speeds.length] ?? 1;
    this.servers.set(id, new SimulatedUpstream(this.events, this.scenario, speed));
    this.balancers.forEach((balancer) =>
      balancer.put(
        {
          id,
          service: 'shop',
          endpoint: { address: '10.0.0.1', port: 80 },
          dataCentre: 'a',
          slots: SLOT_COUNT,
          state: 'ready',
          born: 1,
          reportSequence: 1,
          warmedUpAt: 0,
        },
        0,
      ),
    );
  }

  run(): Result {
    this.tick();
    this.arrive(0);
    this.events.run(this.endsAt + DEADLINE_RATIO * objectiveOf(this.scenario));
    const sorted = this.times.sort((a, b) => a - b);
    return {
      lateRatio: this.lateCount / this.endedCount,
      meanMs: sorted.reduce((sum, time) => sum + time, 0) / sorted.length,
      p99Ms: sorted[Math.floor(sorted.length * 0.99)] ?? 0,
      decisionMicros: (1000 * this.decisionTime) / Math.max(1, this.decisionCount),
    };
  }

  private tick(): void {
    const { now } = this.events;
    if (this.rule === 'oracle' || now > this.endsAt) return;
    this.balancers.forEach((balancer) =>
      balancer.all().forEach((stats) => {
        Object.assign(stats, { lastSentAt: now });
        stats.applyEvidence('good', now);
      }),
    );
    this.events.schedule(now + TICK_MS, () => this.tick());
  }

  private arrive(n: number): void {
    const { scenario, events, draw } = this;
    if (events.now > this.endsAt) return;
    const speedSum = scenario.speeds.reduce((sum, speed) => sum + 1 / speed, 0);
    const capacity =
      (scenario.upstreams * SLOT_COUNT * speedSum) / scenario.speeds.length / meanWork(scenario);
    const gap = -Math.log(1 - draw()) / (capacity * scenario.utilisation);
    const isTail = draw() < TAIL_RATIO;
    const normal = Math.sqrt(-2 * Math.log(1 - draw())) * Math.cos(2 * Math.PI * draw());
    const noise = Math.exp(NOISE * normal - (NOISE * NOISE) / 2);
    const host = Math.floor(draw() * scenario.hosts);
    const name = isTail && scenario.isTailPredictable ? 'report' : 'item';
    const request: SimulatedRequest = {
      id: `r${n}`,
      work: BASE_WORK_MS * (isTail ? scenario.tail : 1) * noise,
      features: { route: 'r', workspace: undefined, target: `/${name}/${n}`, bodyBytes: 0 },
      arrivedAt: events.now,
    };
    events.schedule(events.now, () => this.send(request, host));
    events.schedule(events.now + gap, () => this.arrive(n + 1));
  }

  private send(request: SimulatedRequest, host: number): void {
    if (this.rule === 'oracle') this.sendByOracle(request);
    else this.sendByBalancer(request, host);
  }

  private sendByOracle(request: SimulatedRequest): void {
    const arrivesAt = this.events.now + NETWORK_MS;
    let best: SimulatedUpstream | undefined;
    let earliest = Number.POSITIVE_INFINITY;
    this.servers.forEach((server) => {
      const at = server.completionOf(request.work, arrivesAt);
      if (at >= earliest) return;
      best = server;
      earliest = at;
    });
    best?.occupy(request.work, arrivesAt);
    const chosen = best;
    this.events.schedule(arrivesAt, () =>
      chosen?.serve(request.work, (ran) => this.end(request, ran)),
    );
  }

  private estimate(balancer: LoadBalancer, request: SimulatedRequest): RequestCost {
    const cost = balancer.costs.estimate(request.features);
    const { estimateError } = this.scenario;
    if (estimateError === 1 || this.drawRule() >= TAIL_RATIO) return cost;
    const factor = this.drawRule() < 0.5 ? estimateError : 1 / estimateError;
    return {
      ...cost,
      expectedMs: cost.expectedMs * factor,
      meanLog: cost.meanLog + Math.log(factor),
    };
  }

  private sendByBalancer(request: SimulatedRequest, host: number): void {
    const balancer = this.balancers[host];
    const { now } = this.events;
    const age = now - request.arrivedAt;
    const objective = objectiveOf(this.scenario);
    if (!balancer) return;
    if (age > DEADLINE_RATIO * objective) {
      this.end(request, false);
      return;
    }
    const startedAt = performance.now();
    const cost = this.rule === 'learned' ? this.estimate(balancer, request) : undefined;
    const placement: PlacementRequest = {
      retryable: true,
      meanBytes: 1000,
      meanLatency: balancer.meanLatency('r'),
      objective: objective - age,
      remaining: DEADLINE_RATIO * objective - age,
      lastResort: false,
      tried: new Set(),
      ...(cost ? { cost } : {}),
    };
    const placed = balancer.place(placement, true, now);
    this.decisionTime += performance.now() - startedAt;
    this.decisionCount += 1;
    if (placed.kind !== 'send') {
      this.events.schedule(now + RETRY_MS, () => this.send(request, host));
      return;
    }
    const { stats } = placed;
    const pending = cost && balancer.costs.pendingRequest(stats, cost, now);
    stats.attemptStarted(request.id, now, OVERDUE_MS, {
      meanLatency: placement.meanLatency,
      pending,
    });
    const server = this.servers.get(stats.upstream.id);
    this.events.schedule(now + NETWORK_MS, () =>
      server?.serve(request.work, (ran) => {
        const { running, waiting } = server;
        this.events.schedule(this.events.now + NETWORK_MS, () =>
          this.answered(request, balancer, stats, ran, { running, waiting }, now, host),
        );
      }),
    );
  }

  private answered(
    request: SimulatedRequest,
    balancer: LoadBalancer,
    stats: UpstreamStats,
    ran: boolean,
    load: { readonly running: number; readonly waiting: number },
    sentAt: number,
    host: number,
  ): void {
    const { now } = this.events;
    const reported = this.scenario.reportsLoad ? load : undefined;
    stats.recordTaken(request.id, !ran, reported, now);
    if (ran) {
      stats.applyEvidence('good', now);
      const latency = now - sentAt;
      if (this.rule === 'learned') {
        balancer.costs.record(stats, request.id, request.features, latency, now);
      }
      balancer.recordAnswer(stats, 'r', { latency, bytes: 1000 });
    } else stats.applyVerdict({ kind: 'busy' }, now);
    if (reported) stats.recordReportedLoad(reported.running, reported.waiting, now);
    stats.attemptEnded(request.id);
    if (ran) this.end(request, true);
    else this.send(request, host);
  }

  private end(request: SimulatedRequest, ran: boolean): void {
    if (request.arrivedAt < this.warmedUpAt || request.arrivedAt > this.endsAt) return;
    const took = this.events.now - request.arrivedAt;
    this.endedCount += 1;
    this.times.push(took);
    if (!ran || took > objectiveOf(this.scenario)) this.lateCount += 1;
  }
}

export const simulate = (scenario: Scenario, rule: Rule, seed: number): Result =>
  new Simulation(scenario, rule, seed).run();
