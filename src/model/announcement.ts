import type { Millis } from './time';

/** A rate in requests per second. */
export type RequestsPerSecond = number;

/** What an upstream announces about itself in the headers of one answer. */
export interface UpstreamAnnouncement {
  /** Requests that it takes from all gateways together; undefined if it names no limit. */
  readonly rateLimit: RequestsPerSecond | undefined;
  /** Whether the upstream says that it is about to leave. */
  readonly isLeaving: boolean;
  /** Time from the answer in which it wants no requests of this gateway; undefined if none. */
  readonly pause: Millis | undefined;
  /** Names of the announcements that are malformed and have been ignored. */
  readonly malformed: readonly string[];
}

/** The announcement of an answer that says nothing about its upstream. */
export const NO_ANNOUNCEMENT: UpstreamAnnouncement = {
  rateLimit: undefined,
  isLeaving: false,
  pause: undefined,
  malformed: [],
};
