/** What a gateway is told: its settings, the operators' configuration and the upstreams in service. */
import type { Instant, Millis } from './time';
import type { DataCentre, ServiceName, UpstreamId } from './upstream';

/** An IP number and a TCP port. */
export interface Endpoint {
  readonly address: string;
  readonly port: number;
}

/** Bounds that the users set for the whole fleet. */
export interface GatewayBounds {
  /** Time in which a leaving upstream must stop getting new work. */
  readonly drainTime: Millis;
  /** Time in which a new configuration must be in force. */
  readonly configChange: Millis;
  /** Time between the signal to stop and the kill. */
  readonly stopGrace: Millis;
  /** Repeats allowed per request of a service, over `repeatWindow`. */
  readonly repeatRatio: number;
  readonly repeatWindow: Millis;
  /** Repeats allowed per service and window beside the ratio. */
  readonly repeatBase: number;
  /** The longest that a caller may keep an answer of the directory. */
  readonly directoryTtl: Millis;
  /** Share of a service's sound upstreams that must get work while requests go unserved. */
  readonly floorShare: number;
}

/** In force where the settings leave a bound out; the strictest figures of the users' sites. */
export const DEFAULT_BOUNDS: GatewayBounds = {
  drainTime: 2000,
  configChange: 2000,
  stopGrace: 6000,
  repeatRatio: 0.2,
  repeatWindow: 10_000,
  repeatBase: 0,
  directoryTtl: 5000,
  floorShare: 0.7,
};

/** What a gateway may use of its host. */
export interface HostLimits {
  /** Cores, as a fraction; Infinity if not told. */
  readonly cores: number;
  /** Of the host's link; Infinity if not told. */
  readonly megabitsPerSecond: number;
}

/** A gateway's settings, checked. */
export interface GatewaySettings {
  readonly node: string;
  readonly dataCentre: DataCentre;
  readonly listen: {
    readonly callers: Endpoint;
    readonly readiness: Endpoint;
    readonly directory: Endpoint;
    /** UDP, between gateways; the same on every host. */
    readonly peers: Endpoint;
    /** Serves metrics to the operators. */
    readonly metrics: Endpoint;
  };
  /** IP numbers of a few hosts that run gateways; they may be stale. */
  readonly seeds: readonly string[];
  readonly store: Endpoint;
  readonly bounds: GatewayBounds;
  readonly limits: HostLimits;
}

/** Whether a request may run more than once, and what its answer is like. */
export type RequestKind = 'safe' | 'unsafe' | 'download';

/** One part of a route's traffic. */
export interface RouteTarget {
  readonly service: ServiceName;
  /** Relative to the sum of the route's weights. */
  readonly weight: number;
}

/** What the operators want done with the requests of one host and path prefix. */
export interface GatewayRoute {
  readonly name: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RequestKind;
  /** The longest that a request may be kept waiting. */
  readonly timeout: Millis;
  /** An answer within this time has its full value. */
  readonly objective: Millis;
  /** Upstreams that one request may run on. */
  readonly maxAttempts: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly targets: readonly RouteTarget[];
}

/** What callers may send, and how long they may take over it. */
export interface CallerLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerTimeout: Millis;
  readonly idleTimeout: Millis;
}

/** One version of the operators' configuration. */
export interface GatewayConfig {
  /** Rises with every change, in uneven steps. */
  readonly version: number;
  /** Routes by host name in lower case. */
  readonly hosts: ReadonlyMap<string, readonly GatewayRoute[]>;
  readonly services: ReadonlySet<ServiceName>;
  readonly limits: CallerLimits;
}

/** The birth of an upstream that does not tell it. */
export const UNKNOWN_BIRTH = 0;

/** An upstream as it describes itself. */
export interface GatewayUpstream {
  readonly id: UpstreamId;
  readonly service: ServiceName;
  readonly endpoint: Endpoint;
  readonly dataCentre: DataCentre;
  /** Requests that it runs at once. */
  readonly slots: number;
  readonly state: 'ready' | 'draining';
  /** Unix milliseconds of its start, or UNKNOWN_BIRTH; another value under the same id is another run. */
  readonly born: number;
  /** Rises with each report of one run. */
  readonly report: number;
  /** Until then it is slow, as it has just started. */
  readonly warmAt: Instant;
}

export const isIdempotent = (kind: RequestKind): boolean => {
  switch (kind) {
    case 'safe':
    case 'download':
      return true;
    case 'unsafe':
      return false;
  }
};
