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
    const changes = page.isSnapshot ? this.list.changesTo(page.items) : page.items;
    const keepUntil = lapsedUntil({
      count: this.list.removals(changes),
      known: this.list.size,
      now,
      storeReturnedAt,
      drainTime: this.context.settings.bounds.drainTime,
    });
    changes.forEach((change) => {
      const news = this.list.apply(change, keepUntil);
      if (news) this.onEvent(news);
    });
  }

  close(): void {
    clearTimeout(this.expiry);
  }

  private onEvent(news: UpstreamListEvent): void {
    const { telemetry, clock } = this.context;
    switch (news.kind) {
      case 'left':
        telemetry.event('upstream-left', { upstream: news.upstream.id });
        this.service.schedulers().forEach((desk) => desk.remove(news.upstream.id));
        this.service.pool.forget(news.upstream);
        return;
      case 'lapsed': {
        const leftMs = news.until - clock.now();
        telemetry.event('upstream-lapsed', { upstream: news.id, leftMs: Math.round(leftMs) });
        this.expireAfter(leftMs);
        return;
      }
      case 'joined':
      case 'reborn':
      case 'draining':
      case 'moved':
        this.put(news.kind, news.upstream);
    }
  }

  private put(kind: string, upstream: GatewayUpstream): void {
    const { id, service, state, born } = upstream;
    this.context.telemetry.event(`upstream-${kind}`, { upstream: id, service, state, born });
    this.service.schedulers().forEach((desk) => {
      if (desk.name !== service) desk.remove(id);
    });
    this.service.scheduler(service).put(upstream);
  }

  private expireAfter(left: Millis): void {
    this.expiry ??= setTimeout(() => {
      this.expiry = undefined;
      this.list.expire(this.context.clock.now()).forEach((news) => this.onEvent(news));
      const next = this.list.nextExpiry();
      if (next !== undefined) this.expireAfter(next - this.context.clock.now());
    }, left);
  }
}
