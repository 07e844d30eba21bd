import type { IncomingMessage } from 'node:http';

import type { Peer } from '../../core/memory';
import type { GatewayWorkspace, Instant, Millis } from '../../model';
import type { HeaderConventions } from '../../ports';

import { endToEndHeaders } from './headers';
import { RELAY_HEADERS, type RelayTerms } from './relay-headers';

/** A token that a request holds; giving it back again has no effect. */
export interface QuotaToken {
  giveBack(): void;
}

/** A caller's request, completely read. */
export interface CallerRequest {
  /** Value of the request id header; empty if the caller sent none. */
  readonly id: string;
  readonly method: string;
  /** Path and query as the caller sent them. */
  readonly target: string;
  readonly host: string;
  /** End-to-end headers, names and values alternating. */
  readonly rawHeaders: readonly string[];
  readonly body: Buffer;
  /** When it arrived, which may be before it was read. */
  readonly arrivedAt: Instant;
  /** When its head was read. */
  readonly readAt: Instant;
  /** When the caller stops waiting for an answer. */
  readonly deadline: Instant;
  /** What another gateway says of it, if that has passed it on; else undefined. */
  readonly relayTerms?: RelayTerms | undefined;
  /** The workspace in whose name it runs; undefined without workspaces or on a public route. */
  readonly workspace?: GatewayWorkspace | undefined;
  /** The caller's key, taken out of `rawHeaders`; a peer that gets the request looks at it again. */
  readonly apiKey?: string | undefined;
  /** The request's token of its workspace's quota, if that has one. */
  readonly quotaToken?: QuotaToken | undefined;
  /** Whom what is held for the request is counted for. */
  readonly caller: Peer;
  /** Aborted when the request is answered, or the connection to the caller closes. */
  readonly signal: AbortSignal;
}

/** Time-out in milliseconds of a request whose caller states no remaining time. */
const DEFAULT_REQUEST_TIMEOUT_MS: Millis = 60_000;

/** Returns when the caller of a request that arrived at `arrivedAt` stops waiting. */
export const deadlineOf = (
  { headers }: IncomingMessage,
  { remainingMs }: HeaderConventions,
  arrivedAt: Instant,
): Instant => {
  const remaining = headers[remainingMs];
  const isStated = typeof remaining === 'string' && /^\d{1,9}$/.test(remaining);
  return arrivedAt + (isStated ? Number(remaining) : DEFAULT_REQUEST_TIMEOUT_MS);
};

/** Builds the request to forward from what the HTTP server has read. */
export const decodeRequest = (
  req: IncomingMessage,
  headerConventions: HeaderConventions,
  read: Pick<CallerRequest, 'body' | 'arrivedAt' | 'readAt' | 'relayTerms' | 'signal' | 'caller'>,
): CallerRequest => {
  const header = (name: string): string => {
    const value = req.headers[name];
    return typeof value === 'string' ? value : '';
  };
  return {
    ...read,
    id: header(headerConventions.requestId),
    method: req.method ?? 'GET',
    target: req.url ?? '/',
    host: req.headers.host ?? '',
    rawHeaders: endToEndHeaders(
      req.rawHeaders,
      new Set([
        headerConventions.remainingMs,
        headerConventions.targetUpstream,
        RELAY_HEADERS.maxRuns,
        RELAY_HEADERS.routed,
      ]),
    ),
    deadline: deadlineOf(req, headerConventions, read.arrivedAt),
  };
};
