import type { GatewaySettings } from '../model';
import type { Clock, HeaderConventions, Telemetry } from '../ports';

/** What every part of a gateway works with. */
export interface GatewayContext {
  /** As last read; a reload changes them. */
  readonly settings: GatewaySettings;
  readonly clock: Clock;
  readonly telemetry: Telemetry;
  readonly headerConventions: HeaderConventions;
  /** Chance, from 0 to 1. */
  readonly random: () => number;
}
