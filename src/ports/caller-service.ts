import type { Maybe } from 'purify-ts';

import type { Instant, NodeAddress, Route, ServiceName, WorkspaceName } from '../model';

import type { Handler } from './exchange';

/** The nodes that a caller should send its requests to. */
export interface AddressOffer {
  /** The addresses of nodes, best first. */
  readonly addresses: readonly NodeAddress[];
  /** The time until which the order holds; later, an address may cost another hop or a retry. */
  readonly validUntil: Instant;
  /** The prefix of idempotency keys whose home is the answering node; empty if it issues none. */
  readonly keyPrefix: string;
}

/** The operations of a node that its caller-facing HTTP server uses. */
export interface CallerService {
  /** Tells whether this node is leaving; if so, callers are told to use other nodes. */
  isLeaving(): boolean;
  /** Finds the route of a request, or nothing if none matches. */
  route(method: string, path: string, workspace: WorkspaceName): Maybe<Route>;
  /** Ranks the nodes for a caller's requests to one service. */
  addresses(service: ServiceName, workspace: WorkspaceName): AddressOffer;
  /**
   * Serves a call. Its service is empty if no route matched and only the key's home may refuse it.
   */
  readonly serve: Handler;
}
