import { createHash } from 'node:crypto';

import type { RequestDigest } from '../../core/crashes';

import type { CallerRequest } from './caller-request';

/** Headers, in lower case, by which an upstream tells callers apart. */
const CALLER_HEADERS: ReadonlySet<string> = new Set(['authorization', 'cookie']);
/** Length in bytes of a digest, a prefix of SHA-256. */
const DIGEST_BYTES = 12;

/**
 * Returns a digest that is equal for a request that comes again under another id: of method, host,
 * target, the caller's credentials and the body.
 */
export const digestOf = ({
  method,
  host,
  target,
  rawHeaders,
  workspace,
  body,
}: Pick<
  CallerRequest,
  'method' | 'host' | 'target' | 'rawHeaders' | 'workspace' | 'body'
>): RequestDigest => {
  const credentials = rawHeaders.filter((_, i) =>
    CALLER_HEADERS.has(rawHeaders[i - (i % 2)]?.toLowerCase() ?? ''),
  );
  const caller = workspace ? [...credentials, workspace.name] : credentials;
  return createHash('sha256')
    .update(JSON.stringify([method, host.toLowerCase(), target, caller]))
    .update(body)
    .digest('hex')
    .slice(0, 2 * DIGEST_BYTES);
};
