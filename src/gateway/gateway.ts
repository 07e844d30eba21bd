import type { Server } from 'node:http';

import { detached } from '../adapters/guarded';
import { TermsRegistry } from '../core/announcements';
import { HostGroups, type HostRoutes, type UpstreamChange } from '../core/gateway';
import {
  MILLIS_PER_SECOND,
  type GatewaySettings,
  type Millis,
  type ServiceName,
  type FeedPage,
  type KeyedRecord,
} from '../model';
import type { ConfigFeedItem, DirectoryCodec, Feed, ReadinessCodec, RecordDecoder } from '../ports';

import { BrokenCallbackLog } from './broken-callback-log';
import { disabledIn, type GatewayContext } from './context';
import {
  ArrivalTimes,
  CallerServer,
  type CallerService,
  PlannedStop,
  RelayServer,
  type ServerResources,
  ServingTurns,
  WorkspaceAccess,
} from './arriving';
import { ConfigInForce, type RequestContext, RequestLog, RequestRouter } from './deciding';
import { Feeds, type ReadTiming, UpstreamRegistry } from './feeds';
import { Fleet } from './peers';
import { listenOnAll } from './listening';
import { HostConnections } from './connections';
import { HeapGuard, type HostMemory } from './memory';
import { ReadingTurns } from './reading-turns';
import { ServiceSchedulers } from './scheduling';
import { AnnouncementReader, ConnectionPool, PathMonitor, PeerRelay } from './sending';
import { createDirectoryServer, createMetricsServer, createReadinessServer } from './small-servers';

/** Sources and codecs that a gateway is connected to. */
export interface GatewayPorts {
  readonly configFeed: Feed<KeyedRecord>;
  readonly upstreamFeed: Feed<KeyedRecord>;
  readonly decodeConfig: RecordDecoder<ConfigFeedItem>;
  readonly decodeUpstreams: RecordDecoder<UpstreamChange>;
  readonly directoryCodec: DirectoryCodec;
  readonly readinessCodec: ReadinessCodec;
  /** Counts what is held for peers, for the store as well. */
  readonly memory: HostMemory;
  /** Returns all metrics in the Prometheus text format. */
  metrics(): Promise<string>;
}

/** Time in milliseconds for which callers may cache an answer of the directory. */
const DIRECTORY_TTL_MS: Millis = 1000;
/** Time in milliseconds for which callers may use a cached answer: three times its time to live. */
const DIRECTORY_USE_MS: Millis = 3 * DIRECTORY_TTL_MS;

/**
 * The proxy between callers and upstreams: builds the parts of a gateway, follows the feeds and
 * forwards each request by its route.
 */
export class Gateway {
  private readonly schedulers: ServiceSchedulers;

  private readonly registry: UpstreamRegistry;

  private readonly terms = new TermsRegistry();

  private readonly pool: ConnectionPool;

  private readonly feeds: Feeds;

  private readonly arrivals: ArrivalTimes;

  private readonly callers: CallerServer;

  private readonly fleet: Fleet;

  private readonly path: PathMonitor;

  private readonly relay: PeerRelay;

  private readonly relayed: RelayServer;

  private readonly servers: readonly {
    readonly server: Server;
    readonly at: 'readiness' | 'directory';
  }[];

  private readonly metricsServer: Server;

  private readonly router: RequestRouter;

  private readonly inForce: ConfigInForce;

  private readonly brokenCallbacks: BrokenCallbackLog;

  private readonly heapGuard: HeapGuard;

  private hostGroups: HostGroups | undefined;

  private readonly plannedStop: PlannedStop;

  /** Settles at the end of the stop; undefined until one is asked for. */
  private stopped: Promise<void> | undefined;

  constructor(
    private readonly context: GatewayContext,
    ports: GatewayPorts,
  ) {
    const { settings, clock, telemetry, headerConventions } = context;
    this.brokenCallbacks = new BrokenCallbackLog(context);
    const announcements = new AnnouncementReader(context, this.terms);
    this.schedulers = new ServiceSchedulers(context, {
      isOwnerOf: (service) => this.fleet.isOwnerOf(service),
      termsOf: (upstream) => this.terms.of(upstream),
      retrySharers: (service) => this.fleet.retryBudgetSharersOf(service),
      sendingHosts: (service, now) => this.fleet.limitSharing.hostsOf(service, now),
    });
    this.inForce = new ConfigInForce(context, (routes) => this.onRoutes(routes));
    this.path = new PathMonitor(context, {
      endpoints: () => this.schedulers.readyEndpoints(),
      onChange: (isCut) => this.onPathChange(isCut),
    });
    const { memory } = ports;
    this.heapGuard = new HeapGuard(memory, telemetry);
    const pieceTurns = new ReadingTurns(clock);
    const resources: ServerResources = {
      clock,
      memory,
      pieceTurns,
      turns: new ServingTurns(() => this.arrivals.takenCount),
      connections: new HostConnections(
        context,
        () => this.pool.openCount + this.relay.connectionCount,
      ),
    };
    const idHeader = headerConventions.requestId;
    const connections = { idHeader, clock, memory, turns: pieceTurns };
    this.pool = new ConnectionPool('upstream', connections, (upstream, head) => {
      this.path.recordContact();
      announcements.read(upstream, head);
    });
    const { configFeed, upstreamFeed } = ports;
    this.feeds = new Feeds(context, {
      configFeed,
      upstreamFeed,
      resources,
      onConfig: (page) => {
        this.inForce.apply(page.items.flatMap(ports.decodeConfig));
        this.fleet.freshness.onApplied(page.position);
      },
      maxProofWait: () => this.fleet.freshness.maxProofWait(),
      onConfigReadStart: (wait) => this.fleet.freshness.onReadStart(wait),
      onUpstreams: (page, timing) =>
        this.onUpstreams({ ...page, items: page.items.flatMap(ports.decodeUpstreams) }, timing),
      onPeerRequest: (req, res) => this.relayed.onRequest(req, res),
    });
    this.registry = new UpstreamRegistry(context, {
      pool: this.pool,
      schedulers: () => this.schedulers.byService,
      scheduler: (service) => this.schedulers.of(service),
    });
    this.fleet = new Fleet(context, {
      feedPositions: () => this.feeds.positions,
      onPeerPositions: (positions) => this.feeds.onPeerPositions(positions),
      onMembers: (self, members) => this.feeds.onMembers(self, members),
      config: () => this.inForce.routes?.config,
      hostGroups: () => this.hostGroups,
      schedulers: () => this.schedulers.byService,
      revocationTime: () => this.revocationTime(),
      source: () => this.feeds.source,
      readsAtStore: () => !this.feeds.isRelayed,
      readStore: () => this.feeds.readConfigNow(),
    });
    this.arrivals = new ArrivalTimes(context);
    const callerService: CallerService = {
      limits: () => this.inForce.routes?.config.limits,
      isStopping: () => this.plannedStop.isAskedFor,
      resources,
      arrivals: this.arrivals,
      timeoutOf: ({ headers, url }) =>
        this.inForce.routes?.find(headers.host ?? '', url ?? '/')?.timeout,
      serve: (request) => this.router.serve(request),
    };
    this.plannedStop = new PlannedStop(context, {
      inFlight: () => this.inFlight,
      lastRequestAt: () => this.callers.lastRequestAt,
    });
    this.callers = new CallerServer(context, callerService);
    this.relayed = new RelayServer(
      context,
      callerService,
      () => this.inForce.routes?.config.version,
    );
    [this.callers.server, this.feeds.server].forEach((server) => this.arrivals.watch(server));
    this.relay = new PeerRelay(context, connections, {
      peersFor: (service) => this.fleet.relayPeersOf(service),
      config: () => this.inForce,
      onLaterConfig: () => {
        detached('gateway', this.feeds.readConfigNow());
      },
      onAnswerHead: (upstream, head) => announcements.read(upstream, head),
    });
    this.servers = [
      {
        at: 'readiness',
        server: createReadinessServer(resources, ports.readinessCodec, () => this.isReady()),
      },
      {
        at: 'directory',
        server: createDirectoryServer(resources, ports.directoryCodec, {
          ttlSeconds: Math.min(DIRECTORY_TTL_MS, settings.bounds.directoryTtl) / MILLIS_PER_SECOND,
          addressesFor: ({ host, dataCentre }) => this.fleet.addressesFor(dataCentre, host),
        }),
      },
    ];
    this.metricsServer = createMetricsServer(resources, () => ports.metrics());
    const { freshness, quotas } = this.fleet;
    const access = new WorkspaceAccess(
      context,
      freshness,
      quotas,
      () => this.inForce.routes?.config,
    );
    const requestContext: RequestContext = {
      ...context,
      pool: this.pool,
      log: new RequestLog(clock, telemetry),
      crashes: this.fleet.crashes,
      path: this.path,
      relay: this.relay,
      reportObservation: (scheduler, ...sighting) =>
        this.fleet.reportObservation(scheduler.name, ...sighting),
    };
    this.router = new RequestRouter(requestContext, access, this.plannedStop, {
      routes: () => this.inForce.routes,
      readConfig: () => {
        detached('gateway', this.feeds.readConfigNow());
      },
      schedulerOf: (service) => this.schedulers.of(service),
      upstreamsAge: () => this.feeds.upstreamsAge(),
    });
  }

  /**
   * Listens on all ports and starts to follow the feeds; waits for ports that are in use, and rejects
   * with a `PortError` if one can't be bound.
   */
  async start(): Promise<void> {
    const { settings, telemetry } = this.context;
    const { callers, metrics, peers } = settings.listen;
    await listenOnAll(this.context, [
      { at: peers, bind: () => this.fleet.listen() },
      { at: callers, server: this.callers.server },
      ...this.servers.map(({ server, at }) => ({ at: settings.listen[at], server })),
      { at: metrics, server: this.metricsServer },
      { at: peers, server: this.feeds.server },
    ]);
    const disabled = [...disabledIn(this.context)].join(',');
    telemetry.event('started', {
      node: settings.node,
      dataCentre: settings.dataCentre,
      ...(disabled === '' ? {} : { disabled }),
    });
    this.feeds.start();
  }

  /** Joins the fleet once routes and upstreams are known, so that no caller is sent here before. */
  private joinWhenReady(): void {
    if (this.plannedStop.isAskedFor || this.fleet.isJoined) return;
    const [, upstreamPosition] = this.feeds.positions;
    const { version } = this.inForce;
    if (version === undefined || upstreamPosition < 0) return;
    this.fleet.join();
    this.context.telemetry.event('ready', { version });
  }

  /** Applies reloaded settings; the context already holds them, `before` are the previous ones. */
  onSettingsReloaded(before: GatewaySettings): void {
    const { settings, telemetry } = this.context;
    const needsRestart =
      JSON.stringify([before.listen, before.store, before.dataCentre]) !==
      JSON.stringify([settings.listen, settings.store, settings.dataCentre]);
    telemetry.event('settings-reloaded', { needsRestart });
    if (this.fleet.isJoined) this.fleet.applySeeds();
  }

  /**
   * Stops the gateway: announces it to the fleet and to the readiness port, serves what is in flight
   * and still arrives while callers may not know of the stop, refuses what arrives later, and
   * resolves when all is closed, before the end of the stop grace period. All calls wait for one stop.
   */
  stop(): Promise<void> {
    this.stopped ??= this.stopOnce();
    return this.stopped;
  }

  private async stopOnce(): Promise<void> {
    const { clock, telemetry } = this.context;
    const askedAt = clock.now();
    this.plannedStop.begin(DIRECTORY_USE_MS);
    telemetry.event('stopping', { inFlight: this.inFlight });
    this.fleet.leave();
    await this.plannedStop.waitUntilIdle(DIRECTORY_USE_MS);
    const { inFlight } = this;
    this.callers.breakOff();
    this.relayed.breakOff();
    await this.plannedStop.waitUntilAnswered();
    this.fleet.stop();
    telemetry.event('stopped', {
      inFlight,
      unanswered: this.inFlight,
      tookMs: Math.round(clock.now() - askedAt),
    });
    this.close();
  }

  /** Number of requests in flight, of callers and of other gateways. */
  private get inFlight(): number {
    return this.callers.inFlight + this.relayed.inFlight;
  }

  private close(): void {
    this.arrivals.close();
    this.feeds.close();
    this.registry.close();
    this.path.close();
    this.relay.close();
    [this.callers.server, this.metricsServer, ...this.servers.map(({ server }) => server)].forEach(
      (server) => {
        server.close();
        server.closeAllConnections();
      },
    );
    this.pool.close();
    this.brokenCallbacks.close();
    this.heapGuard.close();
  }

  private isReady(): boolean {
    return !this.plannedStop.isAskedFor && this.fleet.isJoined;
  }

  /** Takes in that this gateway's own path to the upstreams is cut, or good again. */
  private onPathChange(isCut: boolean): void {
    this.fleet.paths.setOwn(isCut);
    if (!isCut) return;
    this.pool.closeIdle();
    this.schedulers.abandonQueues();
  }

  /** Takes in that other routes are in force. */
  private onRoutes(routes: HostRoutes): void {
    this.router.onRoutesChanged(routes);
    const all = [...routes.config.hosts.values()].flat();
    this.schedulers.retainRoutes(new Set(all.map(({ name }) => name)));
    this.recomputeHostGroups();
    this.callers.applyLimits();
    this.joinWhenReady();
  }

  /** Returns the key revocation time; undefined if no proof of the keys is needed. */
  private revocationTime(): Millis | undefined {
    const hasWorkspaces = this.inForce.routes?.config.workspacesByKey !== undefined;
    return hasWorkspaces ? this.context.settings.bounds.keyRevocationTime : undefined;
  }

  /** Groups the hosts again after a change of the routes or upstreams, and updates the owners. */
  private recomputeHostGroups(): void {
    const { routes } = this.inForce;
    if (!routes) return;
    const slotsOf = (service: ServiceName): number =>
      this.schedulers.byService.get(service)?.balancer.totalSlots ?? 0;
    this.hostGroups = new HostGroups(routes.config, slotsOf);
    this.fleet.recomputeOwners();
  }

  private onUpstreams(page: FeedPage<UpstreamChange>, timing: ReadTiming): void {
    this.registry.onPage(page, timing);
    if (page.items.length > 0) this.recomputeHostGroups();
    this.forgetUnusedServices();
    this.joinWhenReady();
  }

  private forgetUnusedServices(): void {
    const services = this.inForce.routes?.config.services;
    if (!services) return;
    const isNamed = (service: ServiceName): boolean =>
      services.has(service) || (this.hostGroups?.ofService(service) ?? []).length > 0;
    this.schedulers
      .removeUnused(isNamed, this.context.clock.now())
      .forEach((service) => this.fleet.forgetService(service));
  }
}
