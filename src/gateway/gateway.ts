import { randomBytes } from 'node:crypto';
import type { Server } from 'node:http';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

import { listen } from '../adapters/listen';
import {
  HostRoutes,
  ownersOf,
  TargetDealer,
  UpstreamList,
  type UpstreamChange,
  type UpstreamNews,
} from '../core/gateway';
import { decodeMembershipMessage, Membership, type MembershipEvent } from '../core/membership';
import {
  MILLIS_PER_SECOND,
  type GatewayUpstream,
  type Instant,
  type Member,
  type Millis,
  type NodeIdentity,
  type ServiceName,
} from '../model';
import type {
  ConfigRecord,
  DirectoryCodec,
  DirectoryQuestion,
  Feed,
  FeedPage,
  ReadinessCodec,
} from '../ports';

import { Call, type CallContext, type CallerRequest, type Reply } from './call';
import { CallerServer } from './caller-server';
import type { GatewayContext } from './context';
import { Follower } from './follower';
import { DatagramLink, type PeerTopic } from './peer-link';
import { ServiceDesk } from './services';
import {
  beliefMessages,
  decodeBeliefs,
  decodeSightings,
  SightingOutbox,
  type BeliefsMessage,
  type SightingsMessage,
} from './sightings';
import { createDirectoryServer, createReadinessServer } from './small-servers';
import { UpstreamPool } from './upstream-pool';

/** What a gateway is connected to. */
export interface GatewayPorts {
  readonly configFeed: Feed<ConfigRecord>;
  readonly upstreamFeed: Feed<UpstreamChange>;
  readonly directoryCodec: DirectoryCodec;
  readonly readinessCodec: ReadinessCodec;
}

/** How long callers may keep an answer of the directory. */
const DIRECTORY_TTL: Millis = 1000;
/** Gateways of one data centre that callers of a host name are sent to. */
const OWNERS_NAMED = 2;
/** Callers may use an old answer for up to this many times its time. */
const TTL_OVERUSE = 3;
/** How often the membership is told that time passes. */
const MEMBERSHIP_TICK: Millis = 50;
/** Retry-After while no configuration is known. */
const NO_CONFIG_RETRY: Millis = 500;
/** Time before the kill at which what is left is broken off. */
const STOP_MARGIN: Millis = 300;
/** How often a stopping gateway looks whether it is idle. */
const STOP_PERIOD: Millis = 50;

/** One process between callers and upstreams. */
export class Gateway {
  private readonly desks = new Map<ServiceName, ServiceDesk>();

  private readonly upstreams = new UpstreamList();

  private readonly dealer = new TargetDealer();

  private readonly pool: UpstreamPool;

  private readonly configFollower: Follower<ConfigRecord>;

  private readonly upstreamFollower: Follower<UpstreamChange>;

  private readonly callers: CallerServer;

  private readonly link: DatagramLink;

  private readonly membership: Membership;

  private readonly outbox: SightingOutbox;

  private readonly servers: readonly {
    readonly server: Server;
    readonly at: 'readiness' | 'directory';
  }[];

  private readonly call: CallContext;

  /** Services that this node owned when the owners last changed. */
  private readonly owned = new Set<ServiceName>();

  private routes: HostRoutes | undefined;

  private members: readonly Member[] = [];

  /** Owners by service; emptied when the members or the routes change. */
  private readonly owners = new Map<ServiceName, readonly Member[]>();

  private ticker: NodeJS.Timeout | undefined;

  private stopping = false;

  constructor(
    private readonly context: GatewayContext,
    ports: GatewayPorts,
  ) {
    const { settings, clock, telemetry, dialect } = context;
    this.pool = new UpstreamPool(dialect.requestId, clock);
    this.configFollower = new Follower('config', ports.configFeed, clock, telemetry, (page) =>
      this.onConfig(page),
    );
    this.upstreamFollower = new Follower(
      'upstreams',
      ports.upstreamFeed,
      clock,
      telemetry,
      (page) => this.onUpstreams(page),
    );
    this.link = new DatagramLink(telemetry, {
      heads: () => [this.configFollower.head, this.upstreamFollower.head],
      onHeads: ([config, upstreams]) => {
        this.configFollower.hint(config);
        this.upstreamFollower.hint(upstreams);
      },
      onMessage: (topic, body) => this.onMessage(topic, body),
    });
    this.membership = Membership.start(
      this.identity(),
      clock.now(),
      xoroshiro128plus(randomBytes(4).readInt32LE(0)),
    );
    this.outbox = new SightingOutbox(clock, (message) => this.tellOwners(message));
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
          addressesFor: (question) => this.addressesFor(question),
        }),
      },
    ];
    this.call = {
      ...context,
      pool: this.pool,
      sharers: (service) => (this.isOwnerOf(service) ? this.ownersFor(service).length : 0),
      sighted: (desk, track, evidence) => this.outbox.add(desk.name, track, evidence),
    };
  }

  async start(): Promise<void> {
    const { settings, telemetry } = this.context;
    const { callers, peers } = settings.listen;
    await this.link.listen(peers);
    const listeners = [
      { server: this.callers.server, at: callers },
      ...this.servers.map(({ server, at }) => ({ server, at: settings.listen[at] })),
    ];
    for (const { server, at } of listeners) {
      (await listen(server, at.address, at.port)).ifLeft((err) => {
        throw new Error(`can't listen on ${err.address}:${err.port}: ${err.code}`);
      });
    }
    this.tell({
      kind: 'host-list',
      hosts: settings.seeds.map((address) => ({
        address,
        callerPort: callers.port,
        peerPort: peers.port,
        leaving: false,
      })),
    });
    this.ticker = setInterval(() => this.tell({ kind: 'tick' }), MEMBERSHIP_TICK);
    telemetry.event('started', { node: settings.node, dataCentre: settings.dataCentre });
    void this.configFollower.follow();
    void this.upstreamFollower.follow();
  }

  /** Takes no new callers, serves to the end what is in flight, and resolves when nothing is left. */
  async stop(): Promise<void> {
    if (this.stopping) return;
    this.stopping = true;
    const { clock, telemetry, settings } = this.context;
    const askedAt = clock.now();
    telemetry.event('stopping', { inFlight: this.callers.inFlight });
    this.tell({ kind: 'leave' });
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
    this.tell({ kind: 'stop' });
    telemetry.event('stopped', {
      inFlight: this.callers.inFlight,
      tookMs: Math.round(clock.now() - askedAt),
    });
    this.close();
  }

  private close(): void {
    clearInterval(this.ticker);
    this.configFollower.close();
    this.upstreamFollower.close();
    this.outbox.close();
    [this.callers.server, ...this.servers.map(({ server }) => server)].forEach((server) => {
      server.close();
      server.closeAllConnections();
    });
    this.pool.close();
    this.link.close();
  }

  private identity(): NodeIdentity {
    const { listen: ports, dataCentre } = this.context.settings;
    return {
      incarnation: randomBytes(6).toString('hex'),
      dataCentre,
      address: ports.callers.address,
      callerPort: ports.callers.port,
      peerPort: ports.peers.port,
    };
  }

  private isReady(): boolean {
    return !this.stopping && this.routes !== undefined;
  }

  private async serve(request: CallerRequest): Promise<Reply | { readonly kind: 'no-route' }> {
    const { routes } = this;
    if (!routes) return { kind: 'refused', why: 'no-config', retryAfter: NO_CONFIG_RETRY };
    const route = routes.find(request.host, request.target);
    if (!route) return { kind: 'no-route' };
    const desk = this.desk(this.dealer.next(route));
    const reply = await new Call(this.call, request, route, desk).run();
    this.context.telemetry.event('request', {
      request: request.id,
      route: route.name,
      service: desk.name,
      outcome: reply.kind,
      ...('why' in reply ? { why: reply.why } : {}),
      ...('head' in reply ? { status: reply.head.status } : {}),
      tookMs: Math.round(this.context.clock.now() - request.arrivedAt),
      config: routes.config.version,
      upstreamsAgeMs: Math.round(this.upstreamFollower.age(request.arrivedAt)),
    });
    return reply;
  }

  private desk(service: ServiceName): ServiceDesk {
    const known = this.desks.get(service);
    if (known) return known;
    const desk = new ServiceDesk(service, this.context, () => this.isOwnerOf(service));
    this.desks.set(service, desk);
    return desk;
  }

  private onConfig(page: FeedPage<ConfigRecord>): void {
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
          this.dealer.clear();
          this.onOwnersChanged();
          this.callers.applyLimits();
          this.context.telemetry.event('config-in-force', {
            version: config.version,
            before: inForce,
          });
        }
      }
    });
  }

  private onUpstreams(page: FeedPage<UpstreamChange>): void {
    const news = page.whole
      ? this.upstreams.replace(page.items)
      : page.items.flatMap((change) => this.applyUpstream(change));
    if (page.whole) news.forEach((each) => this.onNews(each));
  }

  private applyUpstream(change: UpstreamChange): readonly UpstreamNews[] {
    const before = change.kind === 'removed' ? this.upstreams.get(change.id) : undefined;
    const news = this.upstreams.apply(change);
    if (news) this.onNews(news, before);
    return news ? [news] : [];
  }

  private onNews(news: UpstreamNews, before?: GatewayUpstream): void {
    const { telemetry } = this.context;
    if (news.kind === 'left') {
      telemetry.event('upstream-left', { upstream: news.id });
      this.desks.forEach((desk) => desk.remove(news.id));
      if (before) this.pool.forget(before);
      return;
    }
    const { upstream } = news;
    telemetry.event(`upstream-${news.kind}`, {
      upstream: upstream.id,
      service: upstream.service,
      state: upstream.state,
      born: upstream.born,
    });
    this.desks.forEach((desk) => {
      if (desk.name !== upstream.service) desk.remove(upstream.id);
    });
    this.desk(upstream.service).put(upstream);
  }

  private addressesFor({ host, dataCentre }: DirectoryQuestion): readonly string[] {
    return ownersOf(this.members, dataCentre, host, OWNERS_NAMED).map(
      ({ address, callerPort }) => `${address}:${callerPort}`,
    );
  }

  /** The gateways that callers of a service's hosts are sent to, in all data centres. */
  private ownersFor(service: ServiceName): readonly Member[] {
    const known = this.owners.get(service);
    if (known) return known;
    const owners = this.findOwners(service);
    this.owners.set(service, owners);
    return owners;
  }

  private findOwners(service: ServiceName): readonly Member[] {
    const hosts = [...(this.routes?.config.hosts ?? [])]
      .filter(([, routes]) =>
        routes.some(({ targets }) => targets.some((target) => target.service === service)),
      )
      .map(([host]) => host);
    const dataCentres = new Set(this.members.map(({ dataCentre }) => dataCentre));
    const owners = hosts.flatMap((host) =>
      [...dataCentres].flatMap((dataCentre) =>
        ownersOf(this.members, dataCentre, host, OWNERS_NAMED),
      ),
    );
    return [...new Set(owners)];
  }

  private isOwnerOf(service: ServiceName): boolean {
    const self = this.context.settings.listen.callers.address;
    return this.ownersFor(service).some(({ address }) => address === self);
  }

  /** A node that begins to own a service asks the others what they know of its upstreams. */
  private onOwnersChanged(): void {
    this.owners.clear();
    const { address, port: peerPort } = this.context.settings.listen.peers;
    this.desks.forEach(({ name }) => {
      const isOwner = this.isOwnerOf(name);
      if (isOwner && !this.owned.has(name)) {
        const message: BeliefsMessage = {
          kind: 'wanted',
          service: name,
          from: { address, peerPort },
        };
        this.others(name).forEach((owner) => this.link.send(owner, 'beliefs', message));
      }
      if (isOwner) this.owned.add(name);
      else this.owned.delete(name);
    });
  }

  private onBeliefs(message: BeliefsMessage): void {
    const now = this.context.clock.now();
    const book = this.desks.get(message.service)?.book;
    switch (message.kind) {
      case 'told':
        message.beliefs.forEach((belief) => book?.assume(belief, now));
        return;
      case 'wanted':
        beliefMessages(message.service, book?.beliefs(now) ?? []).forEach((told) =>
          this.link.send(message.from, 'beliefs', told),
        );
    }
  }

  /** The owners of a service other than this node. */
  private others(service: ServiceName): readonly Member[] {
    const self = this.context.settings.listen.callers.address;
    return this.ownersFor(service).filter(({ address }) => address !== self);
  }

  private tellOwners(message: SightingsMessage): void {
    this.others(message.service).forEach((owner) => this.link.send(owner, 'sightings', message));
  }

  private onMessage(topic: PeerTopic, body: unknown): void {
    switch (topic) {
      case 'membership':
        decodeMembershipMessage(body).caseOf({
          Left: (err) => this.context.telemetry.count('datagrams_refused', { reason: err.kind }),
          Right: (message) => this.tell({ kind: 'message', message }),
        });
        return;
      case 'sightings': {
        const message = decodeSightings(body);
        const now: Instant = this.context.clock.now();
        const desk = message && this.desks.get(message.service);
        message?.sightings.forEach((sighting) => desk?.book.hear(sighting, now));
        return;
      }
      case 'beliefs': {
        const message = decodeBeliefs(body);
        if (message) this.onBeliefs(message);
      }
    }
  }

  private tell(event: MembershipEvent): void {
    this.membership.apply(event, this.context.clock.now()).effects.forEach((effect) => {
      switch (effect.kind) {
        case 'send':
          this.link.send(effect.to, 'membership', effect.message);
          return;
        case 'changed':
          this.members = effect.members;
          this.onOwnersChanged();
      }
    });
  }
}
