/** Converts HTTP headers between the forms of Node's http and of the model. */
import type { IncomingMessage } from 'node:http';

import type { Headers } from '../model';

/** Names of the headers that the fleet reads and writes. */
export const HEADER = {
  requestId: 'redwing-request-id',
  /** Time in milliseconds that the sender waits for the answer. */
  timeoutMs: 'redwing-timeout-ms',
  /** The caller's account. */
  workspace: 'redwing-workspace',
  /** Tells whether the request ran: `done`, `not-run` or `unknown`. */
  outcome: 'redwing-outcome',
  /** The reason of a refusal. */
  reason: 'redwing-reason',
  retryAfterMs: 'redwing-retry-after-ms',
  /**
   * Set by an upstream that refused a request before it started: `draining`, `cold`, or else busy.
   */
  notStarted: 'redwing-not-started',
  /** An idempotency key: requests under the same key take effect at most once. */
  key: 'idempotency-key',
  contentDigest: 'content-digest',
} as const;

/** Names of the hop-by-hop headers, and of headers that the fleet sets itself. */
const NOT_FORWARDED_HEADERS: ReadonlySet<string> = new Set([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'host',
  'expect',
  HEADER.timeoutMs,
  HEADER.requestId,
  HEADER.outcome,
  HEADER.reason,
  HEADER.retryAfterMs,
]);

/**
 * Returns the headers of a message that are passed on to the next hop, with names in lower case.
 * Headers that `Connection` names are dropped too.
 */
export const forwardedHeaders = (message: IncomingMessage): Headers => {
  const headers: (readonly [string, string])[] = [];
  const connectionOptions = (message.headers.connection ?? '').toLowerCase().split(/\s*,\s*/);
  const { rawHeaders } = message;
  for (let i = 0; i + 1 < rawHeaders.length; i += 2) {
    const name = (rawHeaders[i] ?? '').toLowerCase();
    const isDropped = NOT_FORWARDED_HEADERS.has(name) || connectionOptions.includes(name);
    if (!isDropped) headers.push([name, rawHeaders[i + 1] ?? '']);
  }
  return headers;
};

/**
 * Flattens headers to the list of names and values that Node's http writes in order, repeats
 * included.
 */
export const toRawHeaders = (headers: Headers): string[] => headers.flat();
