/** A rate in requests per second. */
export type RequestsPerSecond = number;

/** What an upstream announces about itself in the headers of one answer. */
export interface UpstreamAnnouncement {
  /** Requests that it takes from all gateways together; undefined if it names no limit. */
  readonly rateLimit: RequestsPerSecond | undefined;
  /** Names of the announcements that are malformed and have been ignored. */
  readonly malformed: readonly string[];
}
