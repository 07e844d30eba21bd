// Starts the stand-ins and three nodes in two data centres, publishes a configuration with the
// command line, sends reads, bookings and one large download, kills a node and an upstream
// meanwhile, and prints the outcomes. Exits with 1 if a booking ran twice, a caller got the answer
// to another request, a request ran although a reply said not-run, or the download was cut short
// without an error.

import { build } from 'hdr-histogram-js';

import { Caller, Load, type ReplyCounts } from '../test/process/caller';
import { pause, send, waitUntilSettled, statusOf, type CallerReply } from '../test/process/fleet';
import {
  withHarness,
  type Harness,
  type NodeProcess,
  type UpstreamProcess,
} from '../test/process/harness';

import { isOwnAnswer } from './own-answer';

const MEGABYTE_BYTES = 1024 * 1024;
const BUNDLE_BYTES = 200 * MEGABYTE_BYTES;
/** Callers of each kind: those that read and those that book. */
const CALLERS_PER_LOAD_COUNT = 6;
/** Times that each booking is sent under its idempotency key. */
const SENDS_PER_KEY_COUNT = 2;
/** Time before each kill and after the last one. */
const PHASE_MS = 2500;
const DATA_CENTRES = ['takoradi', 'takoradi', 'sekondi'];

/** The reply to one send of a booking. */
interface BookingReply {
  readonly key: string;
  readonly body: string;
  readonly reply: CallerReply;
}

const RULES = `
[[service]]
name = "bookings"
floor = 0.5
costRatio = 30
queuePerSlot = 4
retryRatio = 0.1

[[service]]
name = "archives"
floor = 0.5
costRatio = 30
queuePerSlot = 4
retryRatio = 0.1

[[route]]
method = "GET"
path = "/bookings"
service = "bookings"
idempotent = true
timeout = "2s"

[[route]]
method = "POST"
path = "/bookings"
service = "bookings"
idempotent = false
timeout = "2s"

[[route]]
method = "GET"
path = "/archives"
service = "archives"
idempotent = true
timeout = "60s"
`;

const inventoryToml = (upstreams: readonly UpstreamProcess[], service: string): string =>
  upstreams
    .map(({ id, port }, i) =>
      [
        '[[upstream]]',
        `id = "${id}"`,
        `service = "${service}"`,
        `dataCentre = "${DATA_CENTRES[i % DATA_CENTRES.length] ?? ''}"`,
        'address = "127.0.0.1"',
        `port = ${port}`,
        'slots = 6',
        'connections = 350',
        '',
      ].join('\n'),
    )
    .join('\n');

const startUpstreams = (
  harness: Harness,
  service: string,
  count: number,
): Promise<readonly UpstreamProcess[]> =>
  Promise.all(
    Array.from({ length: count }, (_, i) =>
      harness.startUpstream({ id: `${service}-${i + 1}`, service, latencyMs: 20, seed: i + 1 }),
    ),
  );

const publish = async (harness: Harness, log: string, what: string, text: string) => {
  const file = await harness.writeTempFile(`${what}.toml`, text);
  const { code, out } = await harness.runCommand(['publish', what, file, '--log', log]);
  if (code !== 0) throw new Error(`publish ${what} exited with ${code}: ${out}`);
};

/** Descriptions of the violated guarantees. */
const violations: string[] = [];
const latenciesMs = build();

const recordLatency = async (sending: Promise<CallerReply>): Promise<CallerReply> => {
  const startedAt = Date.now();
  const reply = await sending;
  if (reply.outcome === 'done') latenciesMs.recordValue(Date.now() - startedAt);
  return reply;
};

let lastSeat = 0;

const sendRead = async (caller: Caller): Promise<CallerReply> => {
  lastSeat += 1;
  const path = `/bookings/seat-${lastSeat}`;
  const reply = await recordLatency(caller.send(path));
  if (reply.outcome === 'done' && reply.status === 200 && !isOwnAnswer(reply.body, path, '')) {
    violations.push(`the read of ${path} got the answer to another request`);
  }
  return reply;
};

/**
 * Sends a booking several times at once under one key, like a caller that times out and resends.
 */
const sendBooking =
  (bookingReplies: BookingReply[]) =>
  async (caller: Caller): Promise<CallerReply> => {
    const key = await caller.newKey();
    lastSeat += 1;
    const body = `{"seat":${lastSeat}}`;
    const request = { method: 'POST', body, headers: { 'idempotency-key': key } };
    const replies = await Promise.all(
      Array.from({ length: SENDS_PER_KEY_COUNT }, () =>
        recordLatency(caller.send('/bookings', request)),
      ),
    );
    replies.forEach((reply) => bookingReplies.push({ key, body, reply }));
    return replies[0] as CallerReply;
  };

const runsByKey = async (
  upstreams: readonly UpstreamProcess[],
): Promise<ReadonlyMap<string, number>> => {
  const runs = new Map<string, number>();
  for (const upstream of upstreams) {
    const { byKey } = await upstream.runs();
    Object.entries(byKey).forEach(([key, count]) => runs.set(key, (runs.get(key) ?? 0) + count));
  }
  return runs;
};

const checkBookings = (
  bookingReplies: readonly BookingReply[],
  runs: ReadonlyMap<string, number>,
): number => {
  let twice = 0;
  runs.forEach((count, key) => {
    if (count > 1) {
      twice += 1;
      violations.push(`key ${key} ran ${count} times, expected at most once`);
    }
  });
  bookingReplies.forEach(({ key, body, reply }) => {
    if (reply.outcome === 'not-run' && (runs.get(key) ?? 0) > 0) {
      violations.push(`key ${key} ran although a reply said not-run`);
    }
    if (
      reply.outcome === 'done' &&
      reply.status === 200 &&
      !isOwnAnswer(reply.body, '/bookings', body)
    ) {
      violations.push(`key ${key} got the answer to another request`);
    }
  });
  return twice;
};

const printTally = (name: string, { counts }: ReplyCounts): void =>
  [...counts].forEach(([outcome, count]) =>
    console.log(`${name.padEnd(10)} ${outcome.padEnd(28)} ${count}`),
  );

const printRetries = async (nodes: readonly NodeProcess[]): Promise<void> => {
  const statuses = await Promise.all(nodes.map(statusOf));
  const sums = new Map<string, number>();
  statuses.forEach(({ counters }) =>
    Object.entries(counters)
      .filter(([name]) => name.startsWith('retry{') || name.startsWith('resend{'))
      .forEach(([name, count]) => sums.set(name, (sums.get(name) ?? 0) + count)),
  );
  sums.forEach((count, name) => console.log(`${'retries'.padEnd(10)} ${name.padEnd(28)} ${count}`));
};

const download = async (node: NodeProcess): Promise<CallerReply> => {
  const reply = await send(`${node.callerUrl}/archives/bundle/${BUNDLE_BYTES}`);
  if (!reply.broken && reply.body.length !== BUNDLE_BYTES) {
    violations.push(`the download ended without an error after ${reply.body.length} bytes`);
  }
  return reply;
};

const demo = async (harness: Harness): Promise<void> => {
  const [log, hosts] = await Promise.all([harness.startLog(), harness.startHostList()]);
  const bookings = await startUpstreams(harness, 'bookings', 4);
  const archives = await startUpstreams(harness, 'archives', 2);
  const nodes = await Promise.all(
    DATA_CENTRES.map((dataCentre) =>
      harness.startNode({ dataCentre, log: log.url, hosts: hosts.url }),
    ),
  );
  await hosts.control({ hosts: nodes.map((node) => node.hostRow()) });
  const inventory = [inventoryToml(bookings, 'bookings'), inventoryToml(archives, 'archives')];
  await publish(harness, log.url, 'inventory', inventory.join('\n'));
  await publish(harness, log.url, 'rules', RULES);
  await waitUntilSettled(nodes, 2);
  console.log(`${nodes.length} nodes, ${bookings.length + archives.length} upstreams, ready`);

  const urls = nodes.map(({ callerUrl }) => callerUrl);
  const callers = (kind: string): readonly Caller[] =>
    Array.from(
      { length: CALLERS_PER_LOAD_COUNT },
      (_, i) => new Caller('bookings', urls, `${kind}-${i}`),
    );
  const bookingReplies: BookingReply[] = [];
  const reads = new Load(callers('clerk'), sendRead);
  const books = new Load(callers('agent'), sendBooking(bookingReplies));
  const [first, , last] = nodes;
  if (!first || !last) throw new Error('expected three nodes');
  const bundle = download(first);
  await pause(PHASE_MS);
  console.log('killing a node');
  await last.process.kill();
  await pause(PHASE_MS);
  console.log('killing an upstream');
  const killed = bookings[0];
  const runsOfKilled = killed ? await runsByKey([killed]) : new Map<string, number>();
  await killed?.process.kill();
  await pause(PHASE_MS);
  const [readTally, bookTally, bundleReply] = await Promise.all([
    reads.stop(),
    books.stop(),
    bundle,
  ]);

  const runs = new Map(await runsByKey(bookings.slice(1)));
  runsOfKilled.forEach((count, key) => runs.set(key, (runs.get(key) ?? 0) + count));
  const twice = checkBookings(bookingReplies, runs);
  printTally('reads', readTally);
  printTally('bookings', bookTally);
  await printRetries(nodes.filter((node) => node !== last));
  console.log(
    `download   ${bundleReply.body.length / MEGABYTE_BYTES} MB ${bundleReply.broken ? 'broken' : 'whole'}`,
  );
  console.log(`run twice  ${twice}`);
  const quantile = (q: number): number => latenciesMs.getValueAtPercentile(q);
  console.log(`latency    p50 ${quantile(50)} ms, p99 ${quantile(99)} ms`);
};

await withHarness(demo);
violations.forEach((violation) => console.log(`VIOLATION ${violation}`));
console.log(violations.length === 0 ? 'no violations' : `${violations.length} violations`);
process.exitCode = violations.length === 0 ? 0 : 1;
