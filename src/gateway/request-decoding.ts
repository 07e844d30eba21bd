import type { IncomingMessage } from 'node:http';

import type { Millis } from '../model';
import type { HeaderConventions } from '../ports';

import type { CallerRequest } from './forwarding';
import { endToEndHeaders } from './headers';
import { RELAY_HEADERS } from './relay-headers';

/** Time-out in milliseconds of a request whose caller states no remaining time. */
const DEFAULT_REQUEST_TIMEOUT_MS: Millis = 60_000;

/** Builds the request to forward from what the HTTP server has read. */
export const decodeRequest = (
  req: IncomingMessage,
  headerConventions: HeaderConventions,
  read: Pick<CallerRequest, 'body' | 'arrivedAt' | 'relayedMaxRuns' | 'signal'>,
): CallerRequest => {
  const header = (name: string): string => {
    const value = req.headers[name];
    return typeof value === 'string' ? value : '';
  };
  const remaining = header(headerConventions.remainingMs);
  const timeout = /^\d{1,9}$/.test(remaining) ? Number(remaining) : DEFAULT_REQUEST_TIMEOUT_MS;
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
      ]),
    ),
    deadline: read.arrivedAt + timeout,
  };
};
