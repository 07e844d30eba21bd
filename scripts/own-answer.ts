import { createHash } from 'node:crypto';

import { isObject } from '../src/model';

const parseJson = (bytes: Buffer): unknown => {
  try {
    return JSON.parse(bytes.toString());
  } catch {
    return undefined;
  }
};

/** Returns whether `answer` is a stand-in upstream's answer to a request with this path and body. */
export const isOwnAnswer = (answer: Buffer, path: string, body: string): boolean => {
  const fields = parseJson(answer);
  if (!isObject(fields)) return false;
  const bodyHash = createHash('sha256').update(body).digest('hex');
  return fields.path === path && fields.bodyHash === bodyHash;
};
