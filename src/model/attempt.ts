import type { Millis } from './time';

/** The result of one attempt at an upstream, as seen by the node that sent it. */
export type AttemptResult =
  | { readonly kind: 'ok'; readonly latency: Millis }
  /** The upstream answered with a 5xx status, other than to shed the request. */
  | { readonly kind: 'error-status'; readonly status: number; readonly latency: Millis }
  /**
   * The upstream stated that it did not start the request: it is busy, draining or still warming
   * up.
   */
  | { readonly kind: 'shed'; readonly cause: 'busy' | 'draining' | 'cold' }
  | { readonly kind: 'connect-failed' }
  /** The connection closed before the whole answer had arrived. */
  | { readonly kind: 'reset' }
  /** The answer's body ended before its stated length. */
  | { readonly kind: 'truncated' }
  /** The answer belongs to another request, or its body does not match its digest. */
  | { readonly kind: 'mismatched' }
  | { readonly kind: 'timeout'; readonly waited: Millis }
  /**
   * This node cancelled the attempt for its own reasons, so the result is no evidence about the
   * upstream.
   */
  | { readonly kind: 'cancelled'; readonly waited: Millis };
