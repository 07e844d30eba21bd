/** The reason why a body stream ended before the body was complete. */
export type BodyFault = 'truncated' | 'mismatched' | 'timeout' | 'cancelled' | 'peer-lost';

/** The error with which a body stream ends when the whole body can't be delivered. */
export class BodyError extends Error {
  constructor(readonly fault: BodyFault) {
    super(`body broke off: ${fault}`);
    this.name = 'BodyError';
  }
}

/** Returns the reason that a stream error carries; any other error counts as `truncated`. */
export const bodyFaultOf = (err: unknown): BodyFault =>
  err instanceof BodyError ? err.fault : 'truncated';
