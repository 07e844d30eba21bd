import type { StoreStandIn } from '../../../standins/platform';
import { configOf, routeOf } from '../../gateway/harness';

import { LASTING_PATH, LASTING_TIMEOUT_MS } from './leaving-callers';
import { MisbehavingPeers } from './misbehaving-peers';

/** Size in bytes of the largest body that the configuration allows. */
const MAX_BODY_BYTES = 4 * 2 ** 20;

/**
 * The configuration in the store. Version N has the routes `/v1/` to `/vN/`, so that a request shows
 * whether the version is in force.
 */
export class PublishedConfig {
  /** The newest version. */
  version = 1;

  constructor(private readonly store: StoreStandIn) {}

  /** Publishes a version, the newest if none is given. */
  publish(version = this.version): void {
    const added = Array.from({ length: version }, (_, i) => routeOf(`/v${i + 1}/`, 'safe'));
    const lasting = routeOf(LASTING_PATH, 'safe', { timeoutMs: LASTING_TIMEOUT_MS });
    const own = [routeOf('/read/', 'safe'), routeOf('/book/', 'unsafe'), lasting];
    const config = configOf(version, [...own, MisbehavingPeers.route, ...added]) as {
      readonly limits: object;
      readonly services: readonly object[];
    };
    const limits = { ...config.limits, maxBodyBytes: MAX_BODY_BYTES };
    const services = [...config.services, MisbehavingPeers.service];
    this.store.put('keyed.op', 'config', { ...config, limits, services });
  }

  publishNext(): void {
    this.version += 1;
    this.publish();
  }

  publishPrevious(): void {
    if (this.version > 1) this.publish(this.version - 1);
  }
}
