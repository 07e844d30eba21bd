// Shares workspaces' quotas between hosts in virtual time; prints a table, writes JSON, and exits with
// status 1 when a target is missed. Arguments select numbers of hosts.
import { mkdirSync, writeFileSync } from 'node:fs';

import { QuotaAllocator, quotaTermsOf } from '../src/core/quota';
import type { WorkspaceQuota } from '../src/model';
import { QuotaFleet, USUAL_BOUNDS } from '../test/fakes/quota-fleet';

const RESULT_FILE = 'dist/bench/quota.json';
const HOST_COUNTS = [1, 3, 20, 136, 300];
const DATA_CENTRES = ['accra', 'kumasi', 'takoradi'];
const START_MS = 2000;
/** Time before the load, in which the steady workspaces' buckets fill. */
const WARM_MS = 15_000;
const LOAD_MS = 60_000;
const CHANGE_INTERVAL_MS = 7500;
/** Requests of a greedy workspace over its quota; the quota over the requests of a steady one. */
const GREED = 7.5;
const STEADY_RATIO = 1.6;
const WORKSPACE_COUNT = 41_000;
const MIN_SERVED_RATIO = 0.97;
const BYTES_PER_MEGABYTE = 1e6;

const QUOTAS: readonly (readonly [string, WorkspaceQuota])[] = [
  ['rare', { rate: 0.2, burst: 0.5 }],
  ['usual', { rate: 20, burst: 10 }],
  ['fast', { rate: 200, burst: 20 }],
];

/**
 * What happens during a run: `below` has no greedy workspaces; `changes` are joins, leaves, kills,
 * isolations and restarts of hosts.
 */
type Condition = 'below' | 'quiet' | 'changes';

const CONDITIONS: readonly Condition[] = ['below', 'quiet', 'changes'];

interface ResultRow {
  readonly hosts: number;
  readonly condition: Condition;
  /** Largest number of runs in a window over the bound, of all workspaces. */
  readonly windowOverBound: number;
  /** Smallest share of the allowed requests of a greedy workspace that were served. */
  readonly served: number;
  /** Requests a second at a host. */
  readonly requestsPerHostSecond: number;
  /** Refused requests of the steady workspaces, those at hosts cut off, and how many they sent. */
  readonly steadyRefused: number;
  readonly steadyRefusedCutOff: number;
  readonly steadySent: number;
  readonly messagesPerHostSecond: number;
  readonly bytesPerHostSecond: number;
  readonly farBytesPerHostSecond: number;
  readonly largestMessage: number;
  readonly longestWaitMs: number;
}

const change = (fleet: QuotaFleet, kind: number, place: number): void => {
  switch (kind % 5) {
    case 0:
      fleet.kill(place);
      fleet.time.after(3000, () => fleet.start(place));
      return;
    case 1:
      fleet.leave(place);
      fleet.time.after(4000, () => fleet.start(place));
      return;
    case 2:
      fleet.isolate(place, true);
      fleet.time.after(5000, () => fleet.reconnect(place));
      return;
    case 3:
      fleet.kill(place);
      fleet.start(place);
      return;
    default:
      fleet.isolate(place, false);
      fleet.time.after(9000, () => fleet.reconnect(place));
  }
};

const runFleet = (hosts: number, condition: Condition): ResultRow => {
  const fleet = new QuotaFleet({
    seed: hosts,
    hostCount: hosts,
    dataCentres: DATA_CENTRES,
    bounds: USUAL_BOUNDS,
  });
  const places = Array.from({ length: hosts }, (_, i) => i);
  const from = START_MS + WARM_MS;
  const end = from + LOAD_MS;
  fleet.time.runUntil(from);
  QUOTAS.forEach(([name, quota]) => {
    fleet.quotas.set(`greedy-${name}`, quota);
    fleet.quotas.set(`steady-${name}`, quota);
    if (condition !== 'below') fleet.load(`greedy-${name}`, quota.rate * GREED, places, end);
    fleet.steadyLoad(`steady-${name}`, quota.rate / STEADY_RATIO, places, end);
  });
  if (condition === 'changes') {
    for (let at = from + 5000, kind = 0; at < end - 5000; at += CHANGE_INTERVAL_MS, kind += 1) {
      fleet.time.at(at, () => change(fleet, kind, Math.floor(fleet.between(0, hosts))));
    }
  }
  fleet.time.runUntil(end);
  const greedy = QUOTAS.map(([name, quota]) => ({ tally: fleet.tallyOf(`greedy-${name}`), quota }));
  const steady = QUOTAS.map(([name]) => fleet.tallyOf(`steady-${name}`));
  const sum = (values: readonly number[]): number => values.reduce((total, one) => total + one, 0);
  const seconds = LOAD_MS / 1000;
  const perHostSecond = (total: number): number => total / (hosts * seconds);
  return {
    hosts,
    condition,
    windowOverBound: Math.max(
      ...[...fleet.quotas].map(([name, quota]) => fleet.boundRatio(name, quota)),
    ),
    served: Math.min(
      ...greedy.map(
        ({ tally, quota }) => tally.runs.length / Math.floor(quota.rate * seconds + quota.burst),
      ),
    ),
    requestsPerHostSecond: perHostSecond(
      sum([...fleet.tallies.values()].map(({ offered }) => offered)),
    ),
    steadyRefusedCutOff: sum(steady.map(({ cutOffRefusals }) => cutOffRefusals)),
    steadyRefused: sum(steady.map(({ refusals }) => refusals.length)),
    steadySent: sum(steady.map(({ offered }) => offered)),
    messagesPerHostSecond: perHostSecond(fleet.datagramCount),
    bytesPerHostSecond: perHostSecond(fleet.byteCount),
    farBytesPerHostSecond: perHostSecond(fleet.farByteCount),
    largestMessage: fleet.largestDatagram,
    longestWaitMs: Math.max(...[...fleet.tallies.values()].map(({ longestWait }) => longestWait)),
  };
};

/** Returns the heap in bytes that an allocator of one partition uses for all workspaces in use. */
const allocatorBytes = (): number => {
  const quota = { rate: 20, burst: 10 };
  const allocator = new QuotaAllocator(quotaTermsOf(DATA_CENTRES, USUAL_BOUNDS), () => quota);
  allocator.begin(0, 0);
  global.gc?.();
  const before = process.memoryUsage().heapUsed;
  for (let i = 0; i < WORKSPACE_COUNT; i++) {
    const ask = { seq: i, partition: 0, workspace: `workspace-${i}`, count: 5, horizon: 0 };
    allocator.grant(ask, { sender: 'host', seq: i }, 10_000);
  }
  // The grants are forgotten after two rotations; the buckets stay.
  for (let i = 0; i < 2; i++) {
    const ask = { seq: -1 - i, partition: 0, workspace: 'workspace-0', count: 1, horizon: 0 };
    allocator.grant(ask, { sender: 'host', seq: -1 - i }, 10_001 + 1001 * (i + 1));
  }
  global.gc?.();
  const used = process.memoryUsage().heapUsed - before;
  return allocator.bucketCount > 0 ? used : 0;
};

const main = (): void => {
  const wanted = process.argv.slice(2).map(Number);
  const sizes = HOST_COUNTS.filter((count) => wanted.length === 0 || wanted.includes(count));
  const rows = sizes.flatMap((hosts) =>
    CONDITIONS.map((condition) => {
      const row = runFleet(hosts, condition);
      console.log(
        Object.entries(row)
          .map(([key, value]) => `${key}=${typeof value === 'number' ? +value.toFixed(3) : value}`)
          .join(' '),
      );
      return row;
    }),
  );
  const memoryMegabytes = allocatorBytes() / BYTES_PER_MEGABYTE;
  console.log(`allocator of ${WORKSPACE_COUNT} workspaces: ${memoryMegabytes.toFixed(1)} MB`);
  mkdirSync('dist/bench', { recursive: true });
  writeFileSync(RESULT_FILE, JSON.stringify({ rows, memoryMegabytes }, undefined, 2));
  const isMissed = rows.some(
    ({ condition, windowOverBound, served, steadyRefused }) =>
      windowOverBound > 1 ||
      (condition === 'quiet' && served < MIN_SERVED_RATIO) ||
      (condition !== 'changes' && steadyRefused > 0),
  );
  process.exitCode = isMissed ? 1 : 0;
};

main();
