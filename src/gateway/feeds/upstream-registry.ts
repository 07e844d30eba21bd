import { guarded } from '../../adapters/guarded';
import {
  lapsedUntil,
  UpstreamList,
  type UpstreamChange,
  type UpstreamListEvent,
} from '../../core/gateway';
import {
  eraOf,
  type FeedPage,
  type GatewayUpstream,
  type Millis,
  type ServiceName,
} from '../../model';

import type { GatewayContext } from '../context';
import type { ReadTiming } from './read-timing';
import type { ServiceScheduler } from '../scheduling/service-scheduler';
import type { ConnectionPool } from '../sending/connection-pool';

/** Parts of the gateway that its upstream registry uses. */
export interface UpstreamRegistryService {
  readonly pool: ConnectionPool;
  /** Returns the schedulers in use, by service name. */
  schedulers(): ReadonlyMap<ServiceName, ServiceScheduler>;
  /** Returns the scheduler of a service, created if it does not exist. */
  scheduler(service: ServiceName): ServiceScheduler;
}

/** Registers the upstreams listed in the store with the schedulers of their services. */
export class UpstreamRegistry {
  private readonly list = new UpstreamList();

  private expiryTimer: NodeJS.Timeout | undefined;

  constructor(
    private readonly context: GatewayContext,
    private readonly service: UpstreamRegistryService,
  ) {}

  /** Applies a page of the upstream feed, read at the times of `timing`. */
  onPage(page: FeedPage<UpstreamChange>, timing: ReadTiming): void {
    const { drainTime, stabilityWindow } = this.context.settings.bounds;
    const era = eraOf(page.position);
    const changes = page.isSnapshot ? this.list.changesFromSnapshot(page.items) : page.items;
    const keepUntil = lapsedUntil({
      count: this.list.unannouncedRemovalCount(changes),
      joinedCount: this.list.joinedCount(changes),
      known: this.list.size,
      drainTime,
      stabilityWindow,
      now: timing.readAt,
      previousReadAt: timing.previousReadAt,
      failedReadAt: timing.failedReadAt,
      storeReturnedAt: timing.storeReturnedAt,
    });
    changes.forEach((change) => {
      const event = this.list.apply(change, keepUntil, era);
      if (event) this.onEvent(event);
    });
  }

  close(): void {
    clearTimeout(this.expiryTimer);
  }

  private onEvent(event: UpstreamListEvent): void {
    const { telemetry, clock } = this.context;
    switch (event.kind) {
      case 'left':
        telemetry.event('upstream-left', { upstream: event.upstream.id });
        this.service.schedulers().forEach((scheduler) => scheduler.remove(event.upstream.id));
        this.service.pool.forget(event.upstream);
        return;
      case 'lapsed': {
        const leftMs = event.until - clock.now();
        telemetry.event('upstream-lapsed', { upstream: event.id, leftMs: Math.round(leftMs) });
        this.service.schedulers().forEach((scheduler) => scheduler.markLapsed(event.id));
        this.scheduleExpiry(leftMs);
        return;
      }
      case 'joined':
      case 'reborn':
      case 'draining':
      case 'moved':
      case 'returned':
        this.put(event.kind, event.upstream);
    }
  }

  /** Adds or updates an upstream in its service, and removes it from any other. */
  private put(kind: string, upstream: GatewayUpstream): void {
    const { id, service, state, born } = upstream;
    this.context.telemetry.event(`upstream-${kind}`, { upstream: id, service, state, born });
    this.service.schedulers().forEach((scheduler) => {
      if (scheduler.name !== service) scheduler.remove(id);
    });
    this.service.scheduler(service).put(upstream);
  }

  /**
   * Removes lapsed upstreams after `delay` milliseconds; does nothing if the timer is already set.
   */
  private scheduleExpiry(delay: Millis): void {
    this.expiryTimer ??= setTimeout(
      guarded('upstream-registry timer', () => {
        this.expiryTimer = undefined;
        this.list.expire(this.context.clock.now()).forEach((event) => this.onEvent(event));
        const next = this.list.nextExpiry();
        if (next !== undefined) this.scheduleExpiry(next - this.context.clock.now());
      }),
      delay,
    );
  }
}
