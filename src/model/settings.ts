import type { Millis } from './time';
import type { DataCentre } from './upstream';

/** The address at which a node listens; the three ports differ. */
export interface ListenSettings {
  readonly address: string;
  readonly callerPort: number;
  readonly peerPort: number;
  readonly operatorPort: number;
}

/** How a node reaches the platform's services. */
export interface PlatformSettings {
  /** Base URL of the platform log. */
  readonly log: string;
  /** Base URL of the list of hosts. */
  readonly hosts: string;
  /** Time for which the log keeps a record. */
  readonly retention: Millis;
  /** Time limit of one request to the platform. */
  readonly timeout: Millis;
}

/** Limits on callers' requests and on the drain of a node. */
export interface LimitSettings {
  readonly maxBodyBytes: number;
  /** Largest size of a request's line and headers. */
  readonly maxHeadBytes: number;
  /** Time limit for a caller to send a request's line and headers. */
  readonly headTimeout: Millis;
  /** Time limit for requests in flight to end when the node drains. */
  readonly drainTimeout: Millis;
}

/** A node's settings as read from its file, validated. */
export interface Settings {
  readonly dataCentre: DataCentre;
  readonly listen: ListenSettings;
  readonly platform: PlatformSettings;
  readonly limits: LimitSettings;
}
