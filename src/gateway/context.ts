import { NONE_DISABLED, type DisabledMechanisms, type GatewaySettings } from '../model';
import type { Clock, HeaderConventions, Telemetry } from '../ports';

/** Dependencies that all parts of a gateway share. */
export interface GatewayContext {
  /** The settings as last read; a reload replaces them. */
  readonly settings: GatewaySettings;
  readonly clock: Clock;
  readonly telemetry: Telemetry;
  readonly headerConventions: HeaderConventions;
  /** Returns a random number from 0 (inclusive) to 1 (exclusive). */
  readonly random: () => number;
  /** The mechanisms that are switched off for a measurement; none if left out. */
  readonly disabled?: DisabledMechanisms | undefined;
}

/** Returns the mechanisms that are switched off. */
export const disabledIn = ({ disabled }: GatewayContext): DisabledMechanisms =>
  disabled ?? NONE_DISABLED;
