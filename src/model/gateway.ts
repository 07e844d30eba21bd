/**
 * The inputs of a gateway: its settings, the operators' configuration and the upstreams in service.
 */
import type { RequestsPerSecond } from './announcement';
import type { WorkspaceName } from './rules';
import type { Instant, Millis } from './time';
import type { DataCentre, ServiceName, UpstreamId } from './upstream';

/** An IP address and a TCP or UDP port. */
export interface Endpoint {
  readonly address: string;
  readonly port: number;
}

/** Bounds that hold for the whole fleet; set in the settings. */
export interface GatewayBounds {
  /** Time within which a draining upstream must stop getting new requests. */
  readonly drainTime: Millis;
  /**
   * Time for which a host has been in contact with the store, and the store available, from which
   * the other bounds are binding.
   */
  readonly stabilityWindow: Millis;
  /** Time within which a new configuration must be in force. */
  readonly configApplyTime: Millis;
  /** Time between the signal to stop and the kill of the process. */
  readonly stopGrace: Millis;
  /** Retries allowed per request of a service, counted over `repeatWindow`. */
  readonly repeatRatio: number;
  readonly repeatWindow: Millis;
  /** Retries allowed per service and window in addition to the ratio. */
  readonly repeatBase: number;
  /** Longest time for which a caller may cache an answer of the directory. */
  readonly directoryTtl: Millis;
  /**
   * Share (0 to 1) of a service's healthy upstreams that must get requests while others are
   * refused.
   */
  readonly floorShare: number;
  /**
   * Time within which a key that is taken away must be refused at every host, in contact with the
   * store or not; undefined if hosts out of contact may go on.
   */
  readonly keyRevocationTime: Millis | undefined;
  /** Length of the sliding window over which a workspace's quota is counted. */
  readonly quotaWindow: Millis;
  /** Ratio by which the requests in a window may exceed what the quota allows in it. */
  readonly quotaExcessRatio: number;
  /** Number of requests by which those in a window may exceed that in addition. */
  readonly quotaExcessCount: number;
}

/** Defaults for bounds that the settings leave out: the strictest values that deployments set. */
export const DEFAULT_BOUNDS: GatewayBounds = {
  drainTime: 2000,
  stabilityWindow: 3000,
  configApplyTime: 2000,
  stopGrace: 6000,
  repeatRatio: 0.2,
  repeatWindow: 10_000,
  repeatBase: 0,
  directoryTtl: 5000,
  floorShare: 0.7,
  keyRevocationTime: undefined,
  quotaWindow: 5000,
  quotaExcessRatio: 0,
  quotaExcessCount: 0,
};

/** The resources of its host that a gateway may use. */
export interface HostLimits {
  /** CPU cores, possibly a fraction of one; Infinity if the settings don't say. */
  readonly cores: number;
  /** Bandwidth of the host's network link; Infinity if the settings don't say. */
  readonly megabitsPerSecond: number;
  /** Memory in bytes at which the process is killed; Infinity if the settings don't say. */
  readonly memoryBytes: number;
  /** Number of sockets and pipes that the process may have; Infinity if the settings don't say. */
  readonly maxSockets: number;
}

/** A gateway's settings, validated. */
export interface GatewaySettings {
  /** The name of this gateway. */
  readonly node: string;
  readonly dataCentre: DataCentre;
  /** All data centres of the deployment, in an order that every host has; empty if not known. */
  readonly dataCentres: readonly DataCentre[];
  readonly listen: {
    /** HTTP for callers' requests. */
    readonly callers: Endpoint;
    /** HTTP for readiness checks. */
    readonly readiness: Endpoint;
    /** HTTP for callers that look up the addresses of gateways. */
    readonly directory: Endpoint;
    /** UDP between gateways; every gateway uses the same port. */
    readonly peers: Endpoint;
    /** HTTP for the operators' metrics. */
    readonly metrics: Endpoint;
  };
  /** IP addresses of a few hosts that run gateways, for finding the others; they may be stale. */
  readonly seeds: readonly string[];
  /** The platform's store of the configuration and of registered upstreams. */
  readonly store: Endpoint;
  readonly bounds: GatewayBounds;
  readonly limits: HostLimits;
}

/**
 * What may be done with the requests of a route: `safe` ones may run more than once, `unsafe` ones
 * may not, and `download` ones may, and their answers are typically large.
 */
export type RequestKind = 'safe' | 'unsafe' | 'download';

/** A service that gets part of a route's traffic. */
export interface RouteTarget {
  readonly service: ServiceName;
  /** Weight of this part, relative to the sum over the route's targets. */
  readonly weight: number;
}

/** The operators' rules for the requests of one host and path prefix. */
export interface GatewayRoute {
  readonly name: string;
  /** A path that begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RequestKind;
  /** Longest time from a request's arrival to the end of its answer. */
  readonly timeout: Millis;
  /** Target for the time from a request's arrival to its answer; later answers are of less use. */
  readonly latencyObjective: Millis;
  /** Largest number of upstreams that one request may be sent to. */
  readonly maxAttempts: number;
  /** Priority in the queue; 0 is the most urgent. */
  readonly priority: number;
  /** Whether requests need no key where the configuration has workspaces. */
  readonly isPublic: boolean;
  readonly targets: readonly RouteTarget[];
}

/** How many requests a workspace may make: a token bucket for all hosts together. */
export interface WorkspaceQuota {
  readonly rate: RequestsPerSecond;
  /** Tokens that the bucket holds when it is full. */
  readonly burst: number;
}

/** A workspace as the operators' configuration describes it. */
export interface GatewayWorkspace {
  readonly name: WorkspaceName;
  /** Priority of its requests, 0 is the most urgent; undefined if that of the route holds. */
  readonly priority: number | undefined;
  /** Undefined if its requests are not limited. */
  readonly quota: WorkspaceQuota | undefined;
}

/** Limits on the size and duration of callers' requests. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  /** Longest time from a request's first byte to the end of its headers. */
  readonly headerTimeout: Millis;
  /** Longest time for which a caller's connection may be idle. */
  readonly idleTimeout: Millis;
}

/** One version of the operators' configuration. */
export interface GatewayConfig {
  /** A number that rises with every change, not always by one. */
  readonly version: number;
  /** The routes of each host name, in lower case. */
  readonly hosts: ReadonlyMap<string, readonly GatewayRoute[]>;
  readonly services: ReadonlySet<ServiceName>;
  readonly limits: CallerLimits;
  /** The workspace of each key; undefined if the configuration has no workspaces. */
  readonly workspacesByKey: ReadonlyMap<string, GatewayWorkspace> | undefined;
}

/** Stands for the start time of an upstream that does not state it. */
export const UNKNOWN_START_UNIX_MS = 0;

/** An upstream as it describes itself when it registers. */
export interface GatewayUpstream {
  readonly id: UpstreamId;
  readonly service: ServiceName;
  readonly endpoint: Endpoint;
  readonly dataCentre: DataCentre;
  /** Largest number of requests that it runs at once. */
  readonly slots: number;
  readonly state: 'ready' | 'draining';
  /**
   * Start of the upstream's process in Unix milliseconds, or UNKNOWN_START_UNIX_MS. Another value
   * under the same id means that the process was restarted.
   */
  readonly born: number;
  /** Sequence number of this registration; rises until the upstream's process restarts. */
  readonly reportSequence: number;
  /** The end of its warm-up after a start; until then it answers slowly. */
  readonly warmedUpAt: Instant;
}

/** Tells whether requests of this kind may run more than once. */
export const isIdempotent = (kind: RequestKind): boolean => {
  switch (kind) {
    case 'safe':
    case 'download':
      return true;
    case 'unsafe':
      return false;
  }
};
