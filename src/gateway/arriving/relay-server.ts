import type { IncomingMessage, ServerResponse } from 'node:http';

import { CallerServer, type CallerService } from './caller-server';
import type { GatewayContext } from '../context';
import { decodeRelayTerms, encodeAnsweringUpstream, RELAY_HEADERS } from '../request/relay-headers';
import type { CallerReply } from './replies';

/** Tells the gateway that passed a request on what has become of it. */
const setRelayHeaders = (
  res: ServerResponse,
  reply: CallerReply,
  configVersion: number | undefined,
): void => {
  const why = 'why' in reply ? ` ${reply.why}` : '';
  res.setHeader(RELAY_HEADERS.outcome, `${reply.kind}${why}`);
  if (configVersion !== undefined)
    res.setHeader(RELAY_HEADERS.configVersion, String(configVersion));
  if (reply.kind === 'answer' && reply.upstream)
    res.setHeader(RELAY_HEADERS.upstream, encodeAnsweringUpstream(reply.upstream));
};

/** Serves requests that gateways without a path to the upstreams pass on to this one. */
export class RelayServer {
  private readonly reader: CallerServer;

  /** `configVersion` returns the version in force; undefined without one. */
  constructor(
    context: GatewayContext,
    service: CallerService,
    configVersion: () => number | undefined,
  ) {
    this.reader = new CallerServer(context, {
      limits: () => service.limits(),
      isStopping: () => service.isStopping(),
      resources: service.resources,
      arrivals: service.arrivals,
      timeoutOf: (req) => service.timeoutOf?.(req),
      serve: (request) => service.serve(request),
      relayTerms: (req) => decodeRelayTerms(req.headers),
      setHeaders: (res, reply) => setRelayHeaders(res, reply, configVersion()),
    });
  }

  /** Number of requests in flight. */
  get inFlight(): number {
    return this.reader.inFlight;
  }

  /** Answers all requests in flight, and all that are read from now on, as a stop breaks them off. */
  breakOff(): void {
    this.reader.breakOff();
  }

  /** Serves a request if a gateway has passed it on; returns whether it did. */
  onRequest(req: IncomingMessage, res: ServerResponse): boolean {
    if (!decodeRelayTerms(req.headers)) return false;
    this.reader.onRequest(req, res);
    return true;
  }
}
