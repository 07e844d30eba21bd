import { SendingHostHistory, type LostHolds, type SendingHosts } from '../../core/announcements';
import type { Instant, Member, ServiceName } from '../../model';

import type { GatewayContext } from '../context';

/** Tells, for each service, the hosts that share a limit of the whole fleet. */
export class LimitSharing {
  private readonly historyByService = new Map<ServiceName, SendingHostHistory>();

  constructor(
    private readonly context: GatewayContext,
    private readonly ownersFor: (service: ServiceName) => readonly Member[],
    private readonly members: () => readonly Member[],
    private readonly holds: LostHolds,
  ) {}

  /** Returns the hosts that share the limits of a service at `now`. */
  hostsOf(service: ServiceName, now: Instant): SendingHosts {
    return (this.historyByService.get(service) ?? this.update(service)).at(now);
  }

  /** Forgets a service that is not used any more. */
  forget(service: ServiceName): void {
    this.historyByService.delete(service);
  }

  /** Takes in a change of the members or of the service's owners. */
  update(service: ServiceName): SendingHostHistory {
    const now = this.context.clock.now();
    const { listen, seeds } = this.context.settings;
    const history =
      this.historyByService.get(service) ??
      new SendingHostHistory(listen.callers.address, now, seeds, this.holds);
    this.historyByService.set(service, history);
    history.update(this.ownersFor(service), this.members(), now);
    return history;
  }
}
