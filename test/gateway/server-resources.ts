import { systemClock } from '../../src/adapters';
import type { HostMemory } from '../../src/gateway';
import { ServingTurns, type ServerResources } from '../../src/gateway/arriving';
import { ReadingTurns } from '../../src/gateway/reading-turns';

import { hostMemory } from './host-memory';

/** Returns what HTTP servers of a gateway share, with turns and accounts of its own. */
export const serverResources = (memory: HostMemory = hostMemory()): ServerResources => ({
  clock: systemClock,
  memory,
  turns: new ServingTurns(),
  // Time stands still, so that there is a turn to read in each turn of the event loop.
  pieceTurns: new ReadingTurns({ now: () => 0 }),
});
