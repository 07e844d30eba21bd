import type { Instant, Member, Millis, ServiceName } from '../../model';
import { MILLIS_PER_SECOND } from '../../model';

import { headerOf, type AnswerHead } from './answer-parser';
import { ConnectionPool, type ConnectionTarget } from './connection-pool';
import type { GatewayContext } from '../context';
import type { ConnectionContext } from './upstream-connection';
import type { CallerRequest } from '../request/caller-request';
import { encodeRequest } from './forwarding';
import { hasNotRun, type GatewayReply } from './gateway-reply';
import {
  decodeAnsweringUpstream,
  encodeRelayTerms,
  RELAY_HEADERS,
  type AnsweringUpstream,
} from '../request/relay-headers';
import type { ExchangeResult } from './exchange';

/** Number of peers to which one request may be offered. */
const MAX_OFFER_COUNT = 3;
/** Retry-After in milliseconds while the path is cut, which is checked more often. */
export const PATH_CUT_RETRY_AFTER_MS: Millis = 250;
/** The target header of a relayed request, which the peer replaces. */
const NO_TARGET = 'relay';
const GATEWAY_TIMEOUT = 504;
/** Reasons for which a peer refuses a request that another peer may take. */
const PEER_REASONS: ReadonlySet<string> = new Set([
  'path-cut',
  'no-config',
  'config-behind',
  'keys-stale',
  'stopping',
]);

const withoutRelayHeaders = (head: AnswerHead): AnswerHead => {
  const names: ReadonlySet<string> = new Set(Object.values(RELAY_HEADERS));
  const rawHeaders = head.rawHeaders.filter(
    (_, i) => !names.has(head.rawHeaders[i - (i % 2)]?.toLowerCase() ?? ''),
  );
  return { ...head, rawHeaders };
};

const retryAfterOf = (head: AnswerHead): Millis => {
  const seconds = Number(headerOf(head.rawHeaders, 'retry-after'));
  return seconds > 0 ? seconds * MILLIS_PER_SECOND : PATH_CUT_RETRY_AFTER_MS;
};

/** A request to be relayed, with what the peer may do. */
export interface RelayedRequest {
  readonly request: CallerRequest;
  readonly service: ServiceName;
  readonly idempotent: boolean;
  /** How many upstreams may still run it. */
  readonly maxRuns: number;
  readonly deadline: Instant;
  readonly signal: AbortSignal;
  /**
   * Whether it may be offered to a peer, which counts it as a request of its own; asked before each
   * offer. `isRepeat` if an earlier peer may have run it.
   */
  readonly mayOffer: (isRepeat: boolean) => boolean;
}

/** What has become of a request that was to be relayed. */
export type RelayResult =
  | { readonly kind: 'replied'; readonly reply: GatewayReply }
  /** It was sent to a peer and may have run; there is no answer. */
  | { readonly kind: 'unknown'; readonly why: string }
  /** No other gateway is known. */
  | { readonly kind: 'alone' };

/** Functions that the relay calls. */
export interface PeerRelayPorts {
  /** Returns the peers to offer a request of a service to, the best first. */
  peersFor(service: ServiceName): readonly Member[];
  /**
   * Returns the version in force, undefined without one, and whether it has been in force for so
   * long that all peers have it.
   */
  config(): { readonly version: number | undefined; readonly isEverywhere: boolean };
  /** Called when a peer has a later configuration in force. */
  onLaterConfig(): void;
  /** Receives the head of an answer that an upstream gave through a peer. */
  onAnswerHead(upstream: AnsweringUpstream, head: AnswerHead): void;
}

/** How a peer replied: its own reply, or `declined` if it has not run the request and never will. */
type Offer = Exclude<RelayResult, { readonly kind: 'alone' }> | { readonly kind: 'declined' };

/** Passes requests on to other gateways while this one has no path to the upstreams. */
export class PeerRelay {
  private readonly pool: ConnectionPool<ConnectionTarget>;

  constructor(
    private readonly context: GatewayContext,
    connections: ConnectionContext,
    private readonly ports: PeerRelayPorts,
  ) {
    this.pool = new ConnectionPool('gateway', connections, () => {});
  }

  /** Number of open connections to peers. */
  get connectionCount(): number {
    return this.pool.openCount;
  }

  /** Offers the request to one peer after the other until one has taken it. */
  async run(relayed: RelayedRequest): Promise<RelayResult> {
    const { request, service } = relayed;
    const peers = this.ports.peersFor(service).slice(0, MAX_OFFER_COUNT);
    if (peers.length === 0) return { kind: 'alone' };
    /** The last offer after which a peer may have run the request. */
    let unknown: Extract<Offer, { readonly kind: 'unknown' }> | undefined;
    let { maxRuns } = relayed;
    for (const peer of peers) {
      if (!relayed.mayOffer(unknown !== undefined)) break;
      const offer = await this.offer(peer, { ...relayed, maxRuns });
      this.context.telemetry.count('relayed_requests', { service, result: offer.kind });
      this.context.telemetry.event('request-relayed', {
        request: request.id,
        service,
        peer: peer.address,
        result: offer.kind,
        ...(offer.kind === 'replied' ? { outcome: offer.reply.kind } : {}),
        ...('why' in offer ? { why: offer.why } : {}),
      });
      switch (offer.kind) {
        case 'replied':
          return unknown && hasNotRun(offer.reply) ? unknown : offer;
        case 'unknown':
          unknown = offer;
          maxRuns -= 1;
          if (!relayed.idempotent || maxRuns < 1) return offer;
          break;
        case 'declined':
      }
    }
    if (unknown) return unknown;
    const reply = {
      kind: 'refused',
      why: 'path-cut',
      retryAfter: PATH_CUT_RETRY_AFTER_MS,
    } as const;
    return { kind: 'replied', reply };
  }

  /** Whether there is a peer that a request of the service may be offered to. */
  hasPeers(service: ServiceName): boolean {
    return this.ports.peersFor(service).length > 0;
  }

  close(): void {
    this.pool.close();
  }

  private async offer(peer: Member, relayed: RelayedRequest): Promise<Offer> {
    const { request, deadline, signal, idempotent, maxRuns } = relayed;
    const { clock, headerConventions } = this.context;
    const key = request.apiKey === undefined ? [] : [headerConventions.apiKey, request.apiKey];
    const { version, isEverywhere } = this.ports.config();
    const terms = encodeRelayTerms({ maxRuns, configVersion: version }, isEverywhere);
    const rawHeaders = [...request.rawHeaders, ...key, ...terms];
    const target = {
      id: peer.incarnation,
      born: 0,
      endpoint: { address: peer.address, port: peer.peerPort },
    };
    const result = await this.pool.run(target, {
      requestId: request.id,
      method: request.method,
      bytes: () =>
        encodeRequest(
          { ...request, rawHeaders },
          headerConventions,
          NO_TARGET,
          deadline - clock.now(),
        ),
      maySend: () => true,
      deadline,
      signal,
      caller: request.caller,
      requestEnded: request.signal,
      idempotent,
    });
    return this.offerOf(result);
  }

  private offerOf(result: ExchangeResult): Offer {
    if (result.kind === 'failed') {
      if (result.why === 'cancelled') return { kind: 'replied', reply: { kind: 'nobody' } };
      return result.sent ? { kind: 'unknown', why: result.why } : { kind: 'declined' };
    }
    const { head, body } = result;
    const { version = Number.POSITIVE_INFINITY } = this.ports.config();
    if (Number(headerOf(head.rawHeaders, RELAY_HEADERS.configVersion) ?? -1) > version)
      this.ports.onLaterConfig();
    const [outcome, why = ''] = (headerOf(head.rawHeaders, RELAY_HEADERS.outcome) ?? '').split(' ');
    switch (outcome) {
      case 'answer': {
        const upstream = decodeAnsweringUpstream(headerOf(head.rawHeaders, RELAY_HEADERS.upstream));
        if (upstream) this.ports.onAnswerHead(upstream, head);
        return {
          kind: 'replied',
          reply: { kind: 'answer', head: withoutRelayHeaders(head), body, upstream },
        };
      }
      case 'refused': {
        if (PEER_REASONS.has(why)) return { kind: 'declined' };
        return {
          kind: 'replied',
          reply: { kind: 'refused', why, retryAfter: retryAfterOf(head) },
        };
      }
      case 'over-quota':
        return { kind: 'replied', reply: { kind: 'over-quota', retryAfter: retryAfterOf(head) } };
      case 'lost': {
        const isTimeout = head.status === GATEWAY_TIMEOUT;
        return { kind: 'replied', reply: { kind: 'lost', why, isTimeout } };
      }
      case undefined:
      default:
        // A build that relays nothing, or a peer without the route: the request has not run.
        return { kind: 'declined' };
    }
  }
}
