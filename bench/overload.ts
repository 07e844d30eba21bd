// Overloads the admission of one shard in virtual time; prints a table, writes JSON, and exits
// with status 1 when a target is missed. An argument selects conditions by part of their name.
import { mkdirSync, writeFileSync } from 'node:fs';

import { MILLIS_PER_SECOND } from '../src/model';

import {
  CONDITIONS,
  MAX_REFUSAL_P99_MS,
  SHARD_SIZES,
  type Condition,
  type ShardSize,
} from './overload/conditions';
import { callsPerSecondCapacity, runModel, type RunResult } from './overload/model';

const RESULT_FILE = 'dist/bench/overload.json';
const DURATION_SECONDS = 60;
const MICROS_PER_MILLI = 1000;
const SEEDS = [1, 2, 3];

/** Target for answers in time over the lesser of capacity and offered load. */
const MIN_GOODPUT_RATIO = 0.9;
/** Target for attempts, retries included, over started calls. */
const MAX_SENDS_PER_CALL = 1.1;
/** Target for the share of its calls that each workspace within its fair share gets answered. */
const MIN_OTHERS_ANSWERED_RATIO = 0.9;

/** Share of calls that may be refused while the load is below capacity. */
const MAX_REFUSED_RATIO = 0.001;

/** One line of the table; over several seeds, most fields hold the worst value. */
interface ResultRow {
  readonly size: string;
  readonly condition: string;
  /** Answers in time over the lesser of capacity and offered load. */
  readonly goodput: number;
  /** Attempts, retries included, over started calls. */
  readonly sendsPerCall: number;
  /** In milliseconds. */
  readonly refusalP99: number;
  /** Refusals over offered calls. */
  readonly refused: number;
  /**
   * Lowest share of answered calls among workspaces within their fair share; NaN if there are none.
   */
  readonly others: number;
  /** Attempts that ran past the deadline or failed without a retry, over all attempts. */
  readonly wasted: number;
  /** Mean real time in microseconds that the admission takes for one event. */
  readonly eventMicros: number;
  /** Refused calls by reason; over several seeds, those of the first. */
  readonly refusals: Readonly<Record<string, number>>;
  /** Refusals of calls never started that came no earlier than the target for p99, by reason. */
  readonly heldBack: Readonly<Record<string, number>>;
}

const sum = (values: readonly number[]): number => values.reduce((total, one) => total + one, 0);

/** Returns the offered load of all workspaces over the shard's capacity. */
const totalLoadRatio = (loads: Condition['loads']): number => sum(loads.map(({ ratio }) => ratio));

/** Returns the 99th percentile; 0 if there are no values. */
const p99 = (values: readonly number[]): number => {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(0.99 * sorted.length)] ?? 0;
};

/** Returns the lowest share of answered calls among workspaces within their fair share. */
const minOthersAnsweredRatio = (result: RunResult, { loads }: Condition): number => {
  const share = 1 / loads.length;
  const within = loads.filter(({ ratio }) => ratio <= share);
  const ratios = within.map(({ workspace }) => {
    const { answered = 0, offered = 1 } = result.byWorkspace.get(workspace) ?? {};
    return answered / offered;
  });
  return ratios.length === 0 ? NaN : Math.min(...ratios);
};

/** Derives the row of one seed's run. */
const rowOf = (size: ShardSize, condition: Condition, result: RunResult): ResultRow => {
  const workspaceResults = [...result.byWorkspace.values()];
  const capacity = callsPerSecondCapacity(size) * DURATION_SECONDS;
  const offered = sum(workspaceResults.map((one) => one.offered));
  const answered = sum(workspaceResults.map((one) => one.answered));
  return {
    size: size.name,
    condition: condition.name,
    goodput: answered / Math.min(capacity, offered),
    sendsPerCall: result.attempts / result.startedCalls,
    refusalP99: p99(result.refusalLatencies),
    refused: sum([...result.refusals.values()]) / offered,
    eventMicros: (result.admissionMillis * MICROS_PER_MILLI) / result.admissionEvents,
    others: minOthersAnsweredRatio(result, condition),
    wasted: result.unansweredAttempts / result.attempts,
    refusals: Object.fromEntries(result.refusals),
    heldBack: Object.fromEntries(result.lateRefusals),
  };
};

/** Combines the rows of several seeds into one that holds the worst value of each measure. */
const worstRow = (rows: readonly ResultRow[]): ResultRow => {
  const [first] = rows;
  if (!first) throw new Error('expected the rows of at least one seed, got none');
  return {
    ...first,
    goodput: Math.min(...rows.map((row) => row.goodput)),
    sendsPerCall: Math.max(...rows.map((row) => row.sendsPerCall)),
    refusalP99: Math.max(...rows.map((row) => row.refusalP99)),
    refused: Math.max(...rows.map((row) => row.refused)),
    eventMicros: Math.max(...rows.map((row) => row.eventMicros)),
    others: Math.min(...rows.map((row) => row.others)),
    wasted: Math.max(...rows.map((row) => row.wasted)),
  };
};

/**
 * Returns the names of the targets missed. Goodput and the other workspaces' share have no target
 * where upstreams fail, since failing upstreams lose capacity. Below capacity there are too few
 * refusals for a p99; their number is limited instead.
 */
const missedTargets = (row: ResultRow, { errorRatio, loads }: Condition): readonly string[] => [
  ...(errorRatio === 0 && row.goodput < MIN_GOODPUT_RATIO ? ['goodput'] : []),
  ...(row.sendsPerCall > MAX_SENDS_PER_CALL ? ['sends'] : []),
  ...(totalLoadRatio(loads) > 1 && row.refusalP99 >= MAX_REFUSAL_P99_MS ? ['refusal p99'] : []),
  ...(totalLoadRatio(loads) < 1 && row.refused > MAX_REFUSED_RATIO ? ['refused'] : []),
  ...(errorRatio === 0 && row.others < MIN_OTHERS_ANSWERED_RATIO ? ['others'] : []),
];

const nameFilter = process.argv[2] ?? '';

const main = (): void => {
  const results = SHARD_SIZES.flatMap((size) =>
    CONDITIONS.filter(({ name }) => name.includes(nameFilter)).map((condition) => {
      const rows = SEEDS.map((seed) =>
        rowOf(
          size,
          condition,
          runModel(size, condition, seed, DURATION_SECONDS * MILLIS_PER_SECOND),
        ),
      );
      const row = worstRow(rows);
      return { ...row, misses: missedTargets(row, condition) };
    }),
  );
  console.table(
    results.map(({ refusals, heldBack, misses, ...row }) => ({
      ...row,
      goodput: row.goodput.toFixed(3),
      sendsPerCall: row.sendsPerCall.toFixed(3),
      refusalP99: row.refusalP99.toFixed(1),
      refused: row.refused.toFixed(4),
      eventMicros: row.eventMicros.toFixed(1),
      others: row.others.toFixed(3),
      wasted: row.wasted.toFixed(3),
      misses: misses.join(', '),
    })),
  );
  mkdirSync('dist/bench', { recursive: true });
  writeFileSync(RESULT_FILE, `${JSON.stringify(results, null, 2)}\n`);
  process.exitCode = results.some(({ misses }) => misses.length > 0) ? 1 : 0;
};

main();
