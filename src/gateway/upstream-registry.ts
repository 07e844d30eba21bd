import {
  lapsedUntil,
  UpstreamList,
  type UpstreamChange,
  type UpstreamListEvent,
} from '../core/gateway';
import type { GatewayUpstream, Instant, Millis, ServiceName } from '../model';
import type { FeedPage } from '../ports';

import type { GatewayContext } from './context';
import type { ServiceScheduler } from './service-scheduler';
import type { ConnectionPool } from './connection-pool';

/** What the inventory asks of its gateway. */
export interface UpstreamRegistryService {
  readonly pool: ConnectionPool;
  /** The desks in use. */
  schedulers(): ReadonlyMap<ServiceName, ServiceScheduler>;
  /** The desk of a service, opened if need be. */
  scheduler(service: ServiceName): ServiceScheduler;
}

/** Puts the upstreams that the store names into the desks of their services. */
export class UpstreamRegistry {
  private readonly list = new UpstreamList();

  private expiry: NodeJS.Timeout | undefined;

  constructor(
    private readonly context: GatewayContext,
    private readonly service: UpstreamRegistryService,
  ) {}

  /** `storeReturnedAt`: when the store last answered again after it did not. */
  onPage(page: FeedPage<UpstreamChange>, storeReturnedAt: Instant): void {
    const now = this.context.clock.now();
    const changes = page.isSnapshot ? this.list.changesFromSnapshot(page.items) : page.items;
    const keepUntil = lapsedUntil({
      count: this.list.unannouncedRemovalCount(changes),
      known: this.list.size,
      now,
      storeReturnedAt,
      drainTime: this.context.settings.bounds.drainTime,
    });
    changes.forEach((change) => {
      const event = this.list.apply(change, keepUntil);
      if (event) this.onEvent(event);
    });
  }

  close(): void {
    clearTimeout(this.expiry);
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
        this.expireAfter(leftMs);
        return;
      }
      case 'joined':
      case 'reborn':
      case 'draining':
      case 'moved':
        this.put(event.kind, event.upstream);
    }
  }

  private put(kind: string, upstream: GatewayUpstream): void {
    const { id, service, state, born } = upstream;
    this.context.telemetry.event(`upstream-${kind}`, { upstream: id, service, state, born });
    this.service.schedulers().forEach((scheduler) => {
      if (scheduler.name !== service) scheduler.remove(id);
    });
    this.service.scheduler(service).put(upstream);
  }

  private expireAfter(left: Millis): void {
    this.expiry ??= setTimeout(() => {
      this.expiry = undefined;
      this.list.expire(this.context.clock.now()).forEach((event) => this.onEvent(event));
      const next = this.list.nextExpiry();
      if (next !== undefined) this.expireAfter(next - this.context.clock.now());
    }, left);
  }
}
