import { parseSettings } from '../../platform';
import { systemClock } from '../../src/adapters';
import { HostMemory } from '../../src/gateway';

import { recordingTelemetry, settingsText } from './harness';

/** Share of a host's memory that is for what is held for peers. */
const ACCOUNT_RATIO = 0.25;

/** Returns an account of its own, with this limit in bytes for what is held. */
export const hostMemory = (
  limit = Number.POSITIVE_INFINITY,
  telemetry = recordingTelemetry(),
): HostMemory => {
  const parsed = parseSettings('test', settingsText(8000, 9000)).unsafeCoerce();
  const memoryBytes = limit / ACCOUNT_RATIO;
  const settings = { ...parsed, limits: { ...parsed.limits, memoryBytes } };
  return new HostMemory({ settings, telemetry, clock: systemClock });
};
