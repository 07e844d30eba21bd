import type { IncomingMessage, ServerResponse } from 'node:http';

import { CallerServer, type CallerService } from './caller-server';
import type { GatewayContext } from './context';
import { encodeAnsweringUpstream, RELAY_HEADERS } from './relay-headers';
import type { CallerReply } from './replies';

const maxRunsOf = (req: IncomingMessage): number | undefined => {
  const value = req.headers[RELAY_HEADERS.maxRuns];
  return typeof value === 'string' && /^\d{1,3}$/.test(value) ? Number(value) : undefined;
};

/** Tells the gateway that passed a request on what has become of it. */
const setRelayHeaders = (res: ServerResponse, reply: CallerReply): void => {
  const why = 'why' in reply ? ` ${reply.why}` : '';
  res.setHeader(RELAY_HEADERS.outcome, `${reply.kind}${why}`);
  if (reply.kind === 'answer' && reply.upstream)
    res.setHeader(RELAY_HEADERS.upstream, encodeAnsweringUpstream(reply.upstream));
};

/** Serves requests that gateways without a path to the upstreams pass on to this one. */
export class RelayServer {
  private readonly reader: CallerServer;

  constructor(context: GatewayContext, service: CallerService) {
    this.reader = new CallerServer(context, {
      limits: () => service.limits(),
      isStopping: () => service.isStopping(),
      memory: service.memory,
      arrivals: service.arrivals,
      serve: (request) => service.serve(request),
      relayedMaxRuns: maxRunsOf,
      setHeaders: setRelayHeaders,
    });
  }

  /** Number of requests in flight. */
  get inFlight(): number {
    return this.reader.inFlight;
  }

  /** Serves a request if a gateway has passed it on; returns whether it did. */
  onRequest(req: IncomingMessage, res: ServerResponse): boolean {
    if (maxRunsOf(req) === undefined) return false;
    this.reader.onRequest(req, res);
    return true;
  }
}
