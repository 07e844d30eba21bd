import { hashOf } from '../hash';
import type { Incarnation, Millis, ServiceName } from '../../model';
import type { LimitNews } from '../announcements';
import type { EvidenceKind } from '../placement';

/** Evidence of a fault, in the order of its numbers in messages, which start at 1. */
export const FAILURE_KINDS = [
  'failed-early',
  'failed-late',
  'slow',
] as const satisfies readonly Exclude<EvidenceKind, 'good'>[];

/** The evidence that is reported at once. */
export type FailureKind = (typeof FAILURE_KINDS)[number];

/** Largest number of good responses in one report. */
export const MAX_GOOD_COUNT = 7;

/** What one gateway reports of one run of an upstream. */
export interface UpstreamReport {
  /** Identifies the run of the upstream; see `upstreamKeyOf`. */
  readonly key: number;
  /** Number of good responses since the last report that count as evidence. */
  readonly goodCount: number;
  /** A failure or overdue response, which came after the good ones. */
  readonly failure?: FailureKind | undefined;
  /**
   * Milliseconds since the gateway sent the upstream the last request that reached it; undefined if
   * none is known to have.
   */
  readonly sentAgo: Millis | undefined;
  /** Number of the gateway's requests in flight at the upstream. */
  readonly inFlight: number;
  /** The limit that the upstream announces; absent if it has none or was reported recently. */
  readonly limit?: LimitNews | undefined;
}

/** The most urgent priority whose requests wait, or were refused a short time ago. */
export interface UnservedPriority {
  readonly priority: number;
  /** Milliseconds since such a request last waited or was refused. */
  readonly ago: Millis;
}

/** What one gateway reports of a service to other owners; topic `sightings` from version 4 on. */
export interface ServiceReport {
  /** Identifies the gateway; see `senderKeyOf`. */
  readonly sender: number;
  /** Identifies the service; see `serviceKeyOf`. */
  readonly service: number;
  /** Absent if no request waits or was refused. */
  readonly unserved?: UnservedPriority | undefined;
  readonly upstreams: readonly UpstreamReport[];
}

/** Returns the 32-bit hash that names a service in reports. */
export const serviceKeyOf = (service: ServiceName): number => hashOf(service);

/** Returns the 32-bit hash that names a gateway's run in reports. */
export const senderKeyOf = (incarnation: Incarnation): number => hashOf(incarnation);
