// Measures the latency that one node and two nodes add to a request, against direct calls to the
// same upstreams in the same run. Prints a table and writes dist/bench/path.json.
import { mkdirSync, writeFileSync } from 'node:fs';
import http from 'node:http';

import { build, type Histogram } from 'hdr-histogram-js';

import { pause, send, startFleet } from '../test/process/fleet';
import { withHarness } from '../test/process/harness';

const REQUESTS_PER_SECOND = [107, 200, 400, 600, 800, 1000, 1400] as const;
const RUN_SECONDS = 6;
const WARM_UP_SECONDS = 4;
const WARM_UP_REQUESTS_PER_SECOND = 400;
const MICROS_PER_MILLI = 1000;
/** Added p99 latency that a rate has to stay below. */
const TARGET_ADDED_P99_MS = 4.7;
const UPSTREAM_COUNT = 4;
const SLOTS_PER_UPSTREAM = 64;
/** Time that an upstream takes for a request. */
const UPSTREAM_LATENCY_MS = 10;

/** A way to the upstreams; requests take its URLs in turn. */
interface MeasuredPath {
  readonly name: 'direct' | 'one node' | 'two nodes';
  readonly urls: readonly string[];
}

/** Latencies in milliseconds of one path at one rate; added ones are over the direct path's. */
interface Row {
  /** Requests a second. */
  readonly rate: number;
  readonly path: MeasuredPath['name'];
  readonly p50: number;
  readonly p99: number;
  readonly addedP50: number;
  readonly addedP99: number;
  /** Requests without a complete answer of status 200. */
  readonly failed: number;
}

/** Latencies in microseconds of successful requests, and the count of failed ones. */
interface Sample {
  readonly histogram: Histogram;
  readonly failed: number;
}

/**
 * Sends at a fixed rate regardless of the answers. Latencies count from the time a request was due,
 * so that a delayed send counts too.
 */
const measurePath = async (path: MeasuredPath, rate: number, seconds: number): Promise<Sample> => {
  const histogram = build();
  const agent = new http.Agent({ keepAlive: true, maxSockets: 256 });
  const total = rate * seconds;
  const startAt = performance.now();
  const replies: Promise<boolean>[] = [];
  for (let i = 0; i < total; i++) {
    const due = startAt + (i * 1000) / rate;
    const remainingMs = due - performance.now();
    if (remainingMs > 1) await pause(remainingMs);
    const url = path.urls[i % path.urls.length] ?? '';
    replies.push(
      send(url, { agent }).then((reply) => {
        const isSuccess = reply.status === 200 && !reply.broken;
        if (isSuccess)
          histogram.recordValue(Math.round((performance.now() - due) * MICROS_PER_MILLI));
        return isSuccess;
      }),
    );
  }
  const successes = await Promise.all(replies);
  agent.destroy();
  return { histogram, failed: successes.filter((isSuccess) => !isSuccess).length };
};

/** Returns a percentile, 0 to 100, in milliseconds. */
const percentileMillis = (histogram: Histogram, percentile: number): number =>
  histogram.getValueAtPercentile(percentile) / MICROS_PER_MILLI;

/** Measures all paths, the direct one first, one after another at one rate. */
const measureRate = async (
  paths: readonly MeasuredPath[],
  rate: number,
): Promise<readonly Row[]> => {
  const samples: Sample[] = [];
  for (const path of paths) samples.push(await measurePath(path, rate, RUN_SECONDS));
  const [direct] = samples;
  if (!direct) return [];
  return samples.map(({ histogram, failed }, i) => ({
    rate,
    path: paths[i]?.name ?? 'direct',
    p50: percentileMillis(histogram, 50),
    p99: percentileMillis(histogram, 99),
    addedP50: percentileMillis(histogram, 50) - percentileMillis(direct.histogram, 50),
    addedP99: percentileMillis(histogram, 99) - percentileMillis(direct.histogram, 99),
    failed,
  }));
};

const printRows = (rows: readonly Row[]): void =>
  rows.forEach(({ rate, path, p50, p99, addedP50, addedP99, failed }) => {
    const cells = [p50, p99, addedP50, addedP99].map((ms) => ms.toFixed(2).padStart(9));
    console.log(
      [String(rate).padStart(6), path.padEnd(10), ...cells, `${failed}`.padStart(7)].join(' '),
    );
  });

/** Returns the highest rate that meets the target together with all lower rates; 0 if none does. */
const highestRateWithinTarget = (rows: readonly Row[], path: MeasuredPath['name']): number => {
  const firstMiss = rows.find(
    (row) => row.path === path && (row.addedP99 >= TARGET_ADDED_P99_MS || row.failed > 0),
  );
  const ratesWithinTarget = REQUESTS_PER_SECOND.filter(
    (rate) => !firstMiss || rate < firstMiss.rate,
  );
  return ratesWithinTarget.at(-1) ?? 0;
};

await withHarness(async (harness) => {
  const { nodes, upstreams } = await startFleet(harness, {
    nodes: ['takoradi', 'sekondi'],
    upstreams: Array.from({ length: UPSTREAM_COUNT }, (_, i) => ({
      id: `b-${i + 1}`,
      service: 'bookings',
      slots: SLOTS_PER_UPSTREAM,
      latencyMs: UPSTREAM_LATENCY_MS,
      seed: i + 1,
    })),
  });
  const answer = await send(`${nodes[0]?.callerUrl}/-/addresses?service=bookings`);
  const { addresses } = JSON.parse(answer.body.toString()) as { addresses: readonly string[] };
  const [owner = '', other = ''] = addresses;
  const paths: readonly MeasuredPath[] = [
    { name: 'direct', urls: upstreams.map(({ url }) => `${url}/bookings/14`) },
    { name: 'one node', urls: [`http://${owner}/bookings/14`] },
    { name: 'two nodes', urls: [`http://${other}/bookings/14`] },
  ];
  for (const path of paths) await measurePath(path, WARM_UP_REQUESTS_PER_SECOND, WARM_UP_SECONDS);
  console.log('  rate path         p50 ms    p99 ms  added p50 added p99  failed');
  const rows: Row[] = [];
  for (const rate of REQUESTS_PER_SECOND) {
    const measured = await measureRate(paths, rate);
    printRows(measured);
    rows.push(...measured);
  }
  const highest = {
    oneNode: highestRateWithinTarget(rows, 'one node'),
    twoNodes: highestRateWithinTarget(rows, 'two nodes'),
  };
  console.log(
    `requests a second up to which the added p99 stays below ${TARGET_ADDED_P99_MS} ms:`,
    highest,
  );
  mkdirSync('dist/bench', { recursive: true });
  writeFileSync('dist/bench/path.json', `${JSON.stringify({ rows, highest }, null, 2)}\n`);
});
