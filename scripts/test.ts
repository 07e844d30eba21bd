// Runs the test files whose path contains the first argument (all if there is none) and prints the
// totals. A file that doesn't end in time fails, and its tests that have not ended are printed.
// Failures of the tests that KNOWN-RED.txt lists are printed but don't count.
import { existsSync, readdirSync, readFileSync } from 'node:fs';
import { join, relative, resolve } from 'node:path';
import { run } from 'node:test';

const KNOWN_RED_FILE = 'KNOWN-RED.txt';
/** Files of test/process that run at once; each of them starts several processes. */
const PROCESS_TEST_FILE_CONCURRENCY = 2;
/** Those whose processes are pressed to their limits, which run one at a time and last. */
const LIMIT_TEST_DIR = join('test', 'process', 'misbehaving-clients');
/** Other test files that run at once. */
const OTHER_TEST_FILE_CONCURRENCY = 6;

/** Time in milliseconds after which a test file counts as one that never ends. */
const FILE_TIMEOUT_MS = 300_000;

/** Names of the passed tests, and ids (`file > name`) of the failed ones. */
interface Tally {
  readonly passed: string[];
  readonly failed: string[];
  readonly knownFailures: string[];
}

const testFiles = (dir: string): readonly string[] =>
  readdirSync(dir, { recursive: true, encoding: 'utf8' })
    .filter((name) => name.endsWith('.test.ts'))
    .map((name) => join(dir, name))
    .sort();

/**
 * Reads the ids (`file > name`) of the tests that are known to fail, the first field of each entry.
 */
const readKnownFailures = (): ReadonlySet<string> => {
  if (!existsSync(KNOWN_RED_FILE)) return new Set();
  const lines = readFileSync(KNOWN_RED_FILE, 'utf8').split('\n');
  const entries = lines.filter((line) => line.startsWith('test: '));
  return new Set(entries.map((line) => line.slice('test: '.length).split(' | ')[0] ?? ''));
};

/** Returns the id of a test, `file > name`. */
const idOf = (event: { readonly file?: string; readonly name: string }): string =>
  `${relative('.', event.file ?? '?')} > ${event.name}`;

/** Returns the ids of the tests and suites of a file that have started and not ended. */
const runningIn = (running: ReadonlySet<string>, file: string): readonly string[] =>
  [...running].filter((id) => id.startsWith(`${file} > `));

const runFiles = async (
  files: readonly string[],
  concurrency: number,
  knownFailures: ReadonlySet<string>,
  tally: Tally,
): Promise<void> => {
  if (files.length === 0) return;
  const stream = run({ files: [...files], concurrency, timeout: FILE_TIMEOUT_MS });
  const running = new Set<string>();
  stream.on('test:dequeue', (event) => running.add(idOf(event)));
  stream.on('test:pass', (event) => {
    running.delete(idOf(event));
    if (event.details.type === 'suite' || event.skip) return;
    tally.passed.push(event.name);
  });
  stream.on('test:fail', (event) => {
    const id = idOf(event);
    running.delete(id);
    if (event.details.type === 'suite') return;
    if (knownFailures.has(id)) {
      tally.knownFailures.push(id);
      return;
    }
    tally.failed.push(id);
    const { error } = event.details;
    console.error(`FAIL ${id}\n${String(error.cause ?? error.stack ?? error)}`);
    const file = files.find((path) => resolve(path) === event.name || path === event.name);
    if (file) runningIn(running, file).forEach((name) => console.error(`NOT ENDED ${name}`));
  });
  stream.on('test:stderr', (event) => process.stderr.write(event.message));
  for await (const event of stream) if (event.type === 'test:diagnostic') continue;
};

const main = async (): Promise<void> => {
  const pattern = process.argv[2] ?? '';
  const files = testFiles('test').filter((file) => file.includes(pattern));
  const isLimitTest = (file: string): boolean => file.startsWith(LIMIT_TEST_DIR);
  const isProcessTest = (file: string): boolean =>
    file.startsWith(join('test', 'process')) && !isLimitTest(file);
  const tally: Tally = { passed: [], failed: [], knownFailures: [] };
  const knownFailures = readKnownFailures();
  await runFiles(
    files.filter((file) => !isProcessTest(file) && !isLimitTest(file)),
    OTHER_TEST_FILE_CONCURRENCY,
    knownFailures,
    tally,
  );
  await runFiles(files.filter(isProcessTest), PROCESS_TEST_FILE_CONCURRENCY, knownFailures, tally);
  await runFiles(files.filter(isLimitTest), 1, knownFailures, tally);
  tally.knownFailures.forEach((id) => console.log(`KNOWN RED ${id}`));
  tally.failed.forEach((id) => console.log(`FAILED ${id}`));
  console.log(`${tally.passed.length} passed, ${tally.failed.length} failed`);
  process.exitCode = tally.failed.length > 0 ? 1 : 0;
};

await main();
