import type { Server } from 'node:http';

import { listen } from '../adapters/listen';
import { HostGroups, HostRoutes, WeightedRoundRobin, type UpstreamChange } from '../core/gateway';
import { MILLIS_PER_SECOND, type GatewaySettings, type Millis, type ServiceName } from '../model';
import type { ConfigFeedItem, DirectoryCodec, Feed, FeedPage, ReadinessCodec } from '../ports';

import type { CallContext } from './attempt';
import { ProxiedRequest, type GatewayReply } from './proxied-request';
import { CallerServer } from './caller-server';
import type { GatewayContext } from './context';
import { Follower } from './follower';
import { Fleet } from './fleet';
import type { CallerRequest } from './forwarding';
import { UpstreamRegistry } from './upstream-registry';
import { RequestLog } from './request-log';
import { ServiceScheduler } from './service-scheduler';
import { createDirectoryServer, createMetricsServer, createReadinessServer } from './small-servers';
import { ConnectionPool } from './connection-pool';

/** What a gateway is connected to. */
export interface GatewayPorts {
  readonly configFeed: Feed<ConfigFeedItem>;
  readonly upstreamFeed: Feed<UpstreamChange>;
  readonly directoryCodec: DirectoryCodec;
  readonly readinessCodec: ReadinessCodec;
  /** All metrics as text. */
  metrics(): Promise<string>;
}

/** How long callers may keep an answer of the directory. */
const DIRECTORY_TTL: Millis = 1000;
/** Callers may use an old answer for up to this many times its time. */
const TTL_OVERUSE = 3;
/**
 * Pause after news from the store, in parts of the time in which departures and configurations must be
 * known; the rest is for the read and for requests on their way.
 */
const GATHER_PART = 0.4;
/** Retry-After while no configuration is known. */
const NO_CONFIG_RETRY: Millis = 500;
/** Time before the kill at which what is left is broken off. */
const STOP_MARGIN: Millis = 300;
/** How often a stopping gateway looks whether it is idle. */
const STOP_PERIOD: Millis = 50;

/** One process between callers and upstreams. */
export class Gateway {
  private readonly schedulers = new Map<ServiceName, ServiceScheduler>();

  private readonly registry: UpstreamRegistry;

  private readonly roundRobin = new WeightedRoundRobin();

  private readonly pool: ConnectionPool;

  private readonly configFollower: Follower<ConfigFeedItem>;

  private readonly upstreamFollower: Follower<UpstreamChange>;

  private readonly callers: CallerServer;

  private readonly fleet: Fleet;

  private readonly servers: readonly {
    readonly server: Server;
    readonly at: 'readiness' | 'directory';
  }[];

  private readonly metricsServer: Server;

  private readonly call: CallContext;

  private routes: HostRoutes | undefined;

  private hostGroups: HostGroups | undefined;

  private stopping = false;

  constructor(
    private readonly context: GatewayContext,
    ports: GatewayPorts,
  ) {
    const { settings, clock, telemetry, headerConventions, random } = context;
    this.pool = new ConnectionPool(headerConventions.requestId, clock);
    const gather = (): Millis =>
      GATHER_PART *
      Math.min(context.settings.bounds.drainTime, context.settings.bounds.configApplyTime);
    const follow = <T>(
      name: string,
      feed: Feed<T>,
      onPage: (page: FeedPage<T>) => void,
    ): Follower<T> => new Follower(name, feed, clock, telemetry, random, gather, onPage);
    this.configFollower = follow('config', ports.configFeed, (page) => this.onConfig(page));
    this.upstreamFollower = follow('upstreams', ports.upstreamFeed, (page) =>
      this.onUpstreams(page),
    );
    this.registry = new UpstreamRegistry(context, {
      pool: this.pool,
      schedulers: () => this.schedulers,
      scheduler: (service) => this.scheduler(service),
    });
    this.fleet = new Fleet(context, {
      heads: () => [this.configFollower.head, this.upstreamFollower.head],
      onHeads: ([config, upstreams]) => {
        this.configFollower.hint(config);
        this.upstreamFollower.hint(upstreams);
      },
      hostGroups: () => this.hostGroups,
      schedulers: () => this.schedulers,
    });
    this.callers = new CallerServer(context, {
      limits: () => this.routes?.config.limits,
      isStopping: () => this.stopping,
      serve: (request) => this.serve(request),
    });
    this.servers = [
      {
        at: 'readiness',
        server: createReadinessServer(ports.readinessCodec, () => this.isReady()),
      },
      {
        at: 'directory',
        server: createDirectoryServer(ports.directoryCodec, {
          ttlSeconds: Math.min(DIRECTORY_TTL, settings.bounds.directoryTtl) / MILLIS_PER_SECOND,
          addressesFor: ({ host, dataCentre }) => this.fleet.addressesFor(dataCentre, host),
        }),
      },
    ];
    this.metricsServer = createMetricsServer(() => ports.metrics());
    this.call = {
      ...context,
      pool: this.pool,
      log: new RequestLog(clock, telemetry),
      retryBudgetSharers: (service) => this.fleet.retryBudgetSharersOf(service),
      reportObservation: (scheduler, ...sighting) =>
        this.fleet.reportObservation(scheduler.name, ...sighting),
    };
  }

  async start(): Promise<void> {
    const { settings, telemetry } = this.context;
    const { callers, metrics } = settings.listen;
    await this.fleet.listen();
    const listeners = [
      { server: this.callers.server, at: callers },
      ...this.servers.map(({ server, at }) => ({ server, at: settings.listen[at] })),
      { server: this.metricsServer, at: metrics },
    ];
    for (const { server, at } of listeners) {
      (await listen(server, at.address, at.port)).ifLeft((err) => {
        throw new Error(`can't listen on ${err.address}:${err.port}: ${err.code}`);
      });
    }
    telemetry.event('started', { node: settings.node, dataCentre: settings.dataCentre });
    void this.configFollower.follow();
    void this.upstreamFollower.follow();
  }

  /** Joins the others once there is something to serve by, so that no caller is sent here before. */
  private joinWhenReady(): void {
    if (this.stopping || this.fleet.isJoined) return;
    if (!this.routes || this.upstreamFollower.head < 0) return;
    this.fleet.join();
    this.context.telemetry.event('ready', { version: this.routes.config.version });
  }

  /** Takes settings that were read anew; the context holds them already. */
  reloaded(before: GatewaySettings): void {
    const { settings, telemetry } = this.context;
    const needsRestart =
      JSON.stringify([before.listen, before.store, before.dataCentre]) !==
      JSON.stringify([settings.listen, settings.store, settings.dataCentre]);
    telemetry.event('settings-reloaded', { needsRestart });
    if (this.fleet.isJoined) this.fleet.tellSeeds();
  }

  /** Takes no new callers, serves to the end what is in flight, and resolves when nothing is left. */
  async stop(): Promise<void> {
    if (this.stopping) return;
    this.stopping = true;
    const { clock, telemetry, settings } = this.context;
    const askedAt = clock.now();
    telemetry.event('stopping', { inFlight: this.callers.inFlight });
    this.fleet.leave();
    const linger = TTL_OVERUSE * DIRECTORY_TTL;
    const deadline = askedAt + settings.bounds.stopGrace - STOP_MARGIN;
    for (;;) {
      const now = clock.now();
      const isQuiet = now - this.callers.lastRequestAt > linger || now - askedAt > linger;
      if ((this.callers.inFlight === 0 && isQuiet) || now >= deadline) break;
      await new Promise((resolve) => {
        setTimeout(resolve, STOP_PERIOD);
      });
    }
    this.fleet.stop();
    telemetry.event('stopped', {
      inFlight: this.callers.inFlight,
      tookMs: Math.round(clock.now() - askedAt),
    });
    this.close();
  }

  private close(): void {
    this.configFollower.close();
    this.upstreamFollower.close();
    this.registry.close();
    [this.callers.server, this.metricsServer, ...this.servers.map(({ server }) => server)].forEach(
      (server) => {
        server.close();
        server.closeAllConnections();
      },
    );
    this.pool.close();
  }

  private isReady(): boolean {
    return !this.stopping && this.fleet.isJoined;
  }

  private async serve(
    request: CallerRequest,
  ): Promise<GatewayReply | { readonly kind: 'no-route' }> {
    const { routes } = this;
    if (!routes) return { kind: 'refused', why: 'no-config', retryAfter: NO_CONFIG_RETRY };
    const route = routes.find(request.host, request.target);
    if (!route) return { kind: 'no-route' };
    const scheduler = this.scheduler(this.roundRobin.next(route));
    const call = new ProxiedRequest(this.call, request, route, scheduler);
    const reply = await call.run();
    this.call.log.ended({
      request,
      route,
      scheduler,
      call,
      reply,
      configVersion: routes.config.version,
      upstreamsAge: this.upstreamFollower.age(this.context.clock.now()),
    });
    return reply;
  }

  private scheduler(service: ServiceName): ServiceScheduler {
    const known = this.schedulers.get(service);
    if (known) return known;
    const scheduler = new ServiceScheduler(service, this.context, () =>
      this.fleet.isOwnerOf(service),
    );
    this.schedulers.set(service, scheduler);
    return scheduler;
  }

  private onConfig(page: FeedPage<ConfigFeedItem>): void {
    page.items.forEach((record) => {
      switch (record.kind) {
        case 'unusable':
          this.context.telemetry.event('config-refused', { detail: record.detail });
          return;
        case 'config': {
          const { config } = record;
          const inForce = this.routes?.config.version ?? -1;
          if (config.version <= inForce) return;
          this.routes = new HostRoutes(config);
          this.roundRobin.clear();
          this.regroup();
          this.callers.applyLimits();
          this.context.telemetry.event('config-in-force', {
            version: config.version,
            before: inForce,
          });
          this.joinWhenReady();
        }
      }
    });
  }

  /** Finds out anew who owns what, as the routes or the upstreams have changed. */
  private regroup(): void {
    if (!this.routes) return;
    const slotsOf = (service: ServiceName): number =>
      this.schedulers.get(service)?.balancer.totalSlots ?? 0;
    this.hostGroups = new HostGroups(this.routes.config, slotsOf);
    this.fleet.onOwnersChanged();
  }

  private onUpstreams(page: FeedPage<UpstreamChange>): void {
    this.registry.onPage(page, this.upstreamFollower.regainedAt);
    if (page.items.length > 0) this.regroup();
    this.joinWhenReady();
  }
}
