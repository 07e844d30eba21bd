import { WeightedRoundRobin, type HostRoutes } from '../../core/gateway';
import type { Millis, ServiceName } from '../../model';

import type { RequestContext } from './attempt';
import type { CallerRequest } from '../request/caller-request';
import { hasNotRun } from '../sending/gateway-reply';
import type { PlannedStop } from '../arriving/planned-stop';
import { ProxiedRequest } from './proxied-request';
import type { CallerReply } from '../arriving/replies';
import type { ServiceScheduler } from '../scheduling/service-scheduler';
import type { WorkspaceAccess } from '../arriving/workspace-access';

/** Retry-After in milliseconds while no configuration is known. */
const NO_CONFIG_RETRY_AFTER_MS: Millis = 500;

/** What the router asks of the gateway. */
export interface RequestRouterPorts {
  /** Returns the routes in force; undefined until a configuration is known. */
  routes(): HostRoutes | undefined;
  /** Reads the configuration at once. */
  readConfig(): void;
  schedulerOf(service: ServiceName): ServiceScheduler;
  /** Returns the time in milliseconds since the last read of the upstreams; -1 before the first. */
  upstreamsAge(): Millis;
}

/** Whether another gateway has routed a request by a later configuration than the one here. */
const isBehind = ({ relayTerms }: CallerRequest, { config }: HostRoutes): boolean =>
  relayTerms?.configVersion !== undefined && relayTerms.configVersion > config.version;

/** Decides whether a request is served, in whose name and by which service, and has it served. */
export class RequestRouter {
  private readonly roundRobin: WeightedRoundRobin;

  constructor(
    private readonly context: RequestContext,
    private readonly access: WorkspaceAccess,
    private readonly plannedStop: PlannedStop,
    private readonly ports: RequestRouterPorts,
  ) {
    this.roundRobin = new WeightedRoundRobin(context.random);
  }

  /** Takes in that other routes are in force. */
  onRoutesChanged({ config }: HostRoutes): void {
    this.roundRobin.retain([...config.hosts.values()].flat());
  }

  /** Forwards a request by its route. */
  async serve(received: CallerRequest): Promise<CallerReply> {
    const { log } = this.context;
    const routes = this.ports.routes();
    if (!routes) return { kind: 'refused', why: 'no-config', retryAfter: NO_CONFIG_RETRY_AFTER_MS };
    if (isBehind(received, routes)) {
      this.ports.readConfig();
      return { kind: 'refused', why: 'config-behind', retryAfter: NO_CONFIG_RETRY_AFTER_MS };
    }
    const route = routes.find(received.host, received.target);
    if (!route) return { kind: 'no-route' };
    const refusal = this.plannedStop.refusal();
    if (refusal) {
      log.logDenied({ request: received, route, reply: refusal });
      return refusal;
    }
    const access = await this.access.decide(received, route);
    const { request } = access;
    if (access.kind === 'denied') {
      log.logDenied({ request, route, reply: access.reply });
      return access.reply;
    }
    const scheduler = this.ports.schedulerOf(this.roundRobin.next(route));
    const proxiedRequest = new ProxiedRequest(this.context, request, route, scheduler);
    const reply = await proxiedRequest.run();
    const wasNotSent = reply.kind === 'nobody' && proxiedRequest.attemptCount === 0;
    if (hasNotRun(reply) || wasNotSent) request.quotaToken?.giveBack();
    log.logEnded({
      request,
      route,
      scheduler,
      attempts: proxiedRequest,
      reply,
      configVersion: routes.config.version,
      upstreamsAge: this.ports.upstreamsAge(),
    });
    return reply;
  }
}
