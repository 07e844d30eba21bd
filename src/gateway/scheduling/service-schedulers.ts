import type { SendingHosts, UpstreamTerms } from '../../core/announcements';
import type { Endpoint, GatewayUpstream, Instant, Millis, ServiceName } from '../../model';

import type { GatewayContext } from '../context';
import { ServiceScheduler } from './service-scheduler';

/** Functions that the schedulers call. */
export interface SchedulerPorts {
  /** Whether this gateway owns a service. */
  isOwnerOf(service: ServiceName): boolean;
  /** Returns the terms of an upstream's run. */
  termsOf(upstream: GatewayUpstream): UpstreamTerms;
  /** Returns the hosts that share the limits of a service's upstreams. */
  sendingHosts(service: ServiceName, now: Instant): SendingHosts;
  /** Returns the number of hosts that share the fixed part of a retry budget; 0 without a part. */
  retrySharers(service: ServiceName, now: Instant): number;
  /**
   * Returns the most urgent priority that other hosts report as waiting or refused there; undefined
   * if there is none, or no report is recent enough.
   */
  mostUrgentWaitingAtPeers?(service: ServiceName, now: Instant): number | undefined;
}

/** Time in milliseconds for which an unused service is kept; longer than any window counts requests. */
const UNUSED_KEEP_MS: Millis = 600_000;

/** The schedulers of all services that requests or upstreams have named. */
export class ServiceSchedulers {
  private readonly schedulers = new Map<ServiceName, ServiceScheduler>();

  /** When services without a use lost their last one. */
  private readonly unusedSince = new Map<ServiceName, Instant>();

  constructor(
    private readonly context: GatewayContext,
    private readonly ports: SchedulerPorts,
  ) {}

  get byService(): ReadonlyMap<ServiceName, ServiceScheduler> {
    return this.schedulers;
  }

  /** Returns the scheduler of a service, created if it does not exist. */
  of(service: ServiceName): ServiceScheduler {
    const known = this.schedulers.get(service);
    if (known) return known;
    const { ports } = this;
    const scheduler = new ServiceScheduler(
      service,
      this.context,
      () => ports.isOwnerOf(service),
      {
        termsOf: (upstream) => ports.termsOf(upstream),
        sendingHosts: (now) => ports.sendingHosts(service, now),
      },
      () => ports.mostUrgentWaitingAtPeers?.(service, this.context.clock.now()),
      (now) => ports.retrySharers(service, now),
    );
    this.schedulers.set(service, scheduler);
    return scheduler;
  }

  /**
   * Forgets the services that `isNamed` by no route and that have long had no upstream and no waiting
   * request; returns them. Load pattern: services whose names hold a release, or that a writer of odd
   * entries makes up, come and go; each costs memory, and work whenever all of them are gone through.
   */
  removeUnused(isNamed: (service: ServiceName) => boolean, now: Instant): readonly ServiceName[] {
    const removed: ServiceName[] = [];
    this.schedulers.forEach((scheduler, name) => {
      const isUsed =
        isNamed(name) || scheduler.balancer.all().length > 0 || scheduler.waitingCount > 0;
      if (isUsed) {
        this.unusedSince.delete(name);
        return;
      }
      const since = this.unusedSince.get(name) ?? now;
      this.unusedSince.set(name, since);
      if (now - since < UNUSED_KEEP_MS) return;
      this.schedulers.delete(name);
      this.unusedSince.delete(name);
      removed.push(name);
    });
    return removed;
  }

  /** Forgets what is known of the answers of routes that are not among `names`. */
  retainRoutes(names: ReadonlySet<string>): void {
    this.schedulers.forEach(({ balancer }) => balancer.retainRoutes(names));
  }

  /** Returns the endpoints of ready upstreams, those of one service in each list. */
  readyEndpoints(): readonly (readonly Endpoint[])[] {
    return [...this.schedulers.values()].map(({ balancer }) =>
      balancer
        .all()
        .filter(({ upstream }) => upstream.state === 'ready')
        .map(({ upstream }) => upstream.endpoint),
    );
  }

  /** Ends the waiting of all requests, as this node has no path to the upstreams. */
  abandonQueues(): void {
    this.schedulers.forEach((scheduler) => scheduler.abandonQueue());
  }
}
