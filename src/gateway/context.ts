import type { GatewaySettings } from '../model';
import type { Clock, Dialect, Telemetry } from '../ports';

/** What every part of a gateway works with. */
export interface GatewayContext {
  /** As last read; a reload changes them. */
  readonly settings: GatewaySettings;
  readonly clock: Clock;
  readonly telemetry: Telemetry;
  readonly dialect: Dialect;
  /** Chance, from 0 to 1. */
  readonly draw: () => number;
}
