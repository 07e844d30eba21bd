import { HostRoutes } from '../../core/gateway';
import type { Instant } from '../../model';
import type { ConfigFeedItem } from '../../ports';

import type { GatewayContext } from '../context';

/** The configuration in force, which only rises in version. */
export class ConfigInForce {
  private current: HostRoutes | undefined;

  /** When the version in force is in force at all gateways that can be reached. */
  private everywhereAt: Instant = Number.POSITIVE_INFINITY;

  /** `onChange` is called when a version has been put in force. */
  constructor(
    private readonly context: GatewayContext,
    private readonly onChange: (routes: HostRoutes) => void,
  ) {}

  /** The routes in force; undefined until a configuration is known. */
  get routes(): HostRoutes | undefined {
    return this.current;
  }

  get version(): number | undefined {
    return this.current?.config.version;
  }

  /** Whether the version has been in force for so long that all other gateways have it. */
  get isEverywhere(): boolean {
    return this.context.clock.now() >= this.everywhereAt;
  }

  /** Puts the configuration of the highest version in force, if that of the current one is lower. */
  apply(items: readonly ConfigFeedItem[]): void {
    const versions = items.flatMap((item) => (item.kind === 'config' ? [item.config.version] : []));
    const highest = Math.max(...versions);
    items
      .filter((item) => item.kind !== 'config' || item.config.version === highest)
      .forEach((item) => this.applyItem(item));
  }

  private applyItem(item: ConfigFeedItem): void {
    const { telemetry, clock, settings } = this.context;
    switch (item.kind) {
      case 'unusable':
        telemetry.event('config-refused', { detail: item.detail });
        telemetry.count('configs_refused', { detail: item.detail });
        return;
      case 'config': {
        const { config } = item;
        const before = this.version ?? -1;
        if (config.version <= before) return;
        this.current = new HostRoutes(config);
        this.everywhereAt = clock.now() + settings.bounds.configApplyTime;
        telemetry.event('config-in-force', { version: config.version, before });
        this.onChange(this.current);
      }
    }
  }
}
