import type { IncomingMessage, ServerResponse } from 'node:http';

import { inputOf } from './request-server';

const hasBody = ({ headers }: IncomingMessage): boolean =>
  headers['transfer-encoding'] !== undefined || Number(headers['content-length'] ?? 0) > 0;

/**
 * Reads no body of a request that is answered without it: the connection of one that has a body
 * closes after its answer. Load pattern: strangers send bodies without end, which would be parsed for
 * as long as they come.
 */
export const ignoreBody = (req: IncomingMessage, res: ServerResponse): void => {
  if (!hasBody(req)) {
    req.resume();
    return;
  }
  res.setHeader('connection', 'close');
  inputOf(req.socket)?.stop();
};
