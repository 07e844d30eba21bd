import { parseSettings } from '../../platform';
import { systemClock } from '../../src/adapters';
import type { HostMemory } from '../../src/gateway';
import { ServingTurns, type ServerResources } from '../../src/gateway/arriving';
import { HostConnections } from '../../src/gateway/connections';
import { ReadingTurns } from '../../src/gateway/reading-turns';

import { recordingTelemetry, settingsText } from './harness';
import { hostMemory } from './host-memory';

/** Returns what HTTP servers of a gateway share, with turns and accounts of its own. */
export const serverResources = (memory: HostMemory = hostMemory()): ServerResources => {
  const settings = parseSettings('test', settingsText(8000, 9000)).unsafeCoerce();
  return {
    clock: systemClock,
    memory,
    turns: new ServingTurns(),
    // Time stands still, so that there is a turn to read in each turn of the event loop.
    pieceTurns: new ReadingTurns({ now: () => 0 }),
    connections: new HostConnections({
      settings,
      clock: systemClock,
      telemetry: recordingTelemetry(),
    }),
  };
};
