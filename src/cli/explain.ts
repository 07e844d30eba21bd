import { createReadStream } from 'node:fs';
import { createInterface } from 'node:readline';
import { Left, Right, type Either } from 'purify-ts';

import { isFiniteNumber, isObject, isString, type UnknownObject } from '../model';

import type { CliError } from './cli-error';
import type { Answer } from './output';

/** One line of a gateway's log. */
export interface LogLine {
  /** Unix milliseconds by the clock of the host that wrote it. */
  readonly time: number;
  readonly event: string;
  readonly fields: UnknownObject;
  readonly source: string;
}

/** How long before a request's first line beliefs count as those that decided it. */
const BELIEFS_BEFORE_MS = 10_000;
/** Fields that stand before the others in a told line, or say nothing. */
const SHOWN_BEFORE: ReadonlySet<string> = new Set(['time', 'event', 'level']);
const BELIEF_EVENTS = /^(upstream|config|feed|settings|owners)-/;

/** A log line from its text; whatever stands before the JSON, such as a collector's prefix, is skipped. */
export const parseLogLine = (text: string, source: string): LogLine | undefined => {
  const start = text.indexOf('{');
  if (start < 0) return undefined;
  try {
    const fields: unknown = JSON.parse(text.slice(start));
    if (!isObject(fields) || !isFiniteNumber(fields.time) || !isString(fields.event)) {
      return undefined;
    }
    return { time: fields.time, event: fields.event, fields, source };
  } catch {
    return undefined;
  }
};

const causeOf = (request: LogLine | undefined, attempts: readonly LogLine[]): string => {
  if (!request) return 'the request ended in no log given here: its node died or was cut off';
  const { outcome, why, status, upstream } = request.fields;
  // An attempt that hangs may end after the one whose answer was passed on.
  const answered = attempts.findLast(({ fields }) => fields.status === status);
  const last = (outcome === 'answer' ? answered : attempts.at(-1))?.fields;
  const others = attempts
    .filter(({ fields }) => fields !== last && fields.outcome === 'unknown')
    .map(({ fields }) => `; upstream ${String(fields.upstream)} gave none (${String(fields.why)})`);
  const runs = attempts.filter(({ fields }) =>
    ['failed', 'unknown'].includes(String(fields.outcome)),
  ).length;
  const at = `upstream ${String(last?.upstream ?? upstream)}`;
  switch (outcome) {
    case 'refused':
      return `the gateway refused it (${String(why)}) and it did not run`;
    case 'lost':
      return `${at} gave no usable answer (${String(why)}); it ran or may have run ${runs} time(s)`;
    case 'answer':
      return isFiniteNumber(status) && status >= 500
        ? `${at} answered ${status} after ${String(last?.tookMs)} ms, and it was not repeated further${others.join('')}`
        : `it was answered ${String(status)} by upstream ${String(upstream)}`;
    case 'nobody':
      return 'the caller left before the answer';
    default:
      return `it ended as ${String(outcome)}`;
  }
};

/**
 * What logs say of one request: its lines and the beliefs about its upstreams, in order of time. The
 * clocks of hosts may differ, so that lines of different sources may be out of order by as much.
 */
export const explain = (lines: readonly LogLine[], requestId: string): readonly string[] => {
  const own = lines.filter(({ fields }) => fields.request === requestId);
  const [first] = own;
  if (!first) {
    return [
      `no line names request ${requestId}: it reached none of these nodes, or its node died before its end`,
    ];
  }
  const upstreams = new Set(own.map(({ fields }) => fields.upstream).filter(isString));
  const sources = new Set(own.map(({ source }) => source));
  const beliefs = lines.filter(
    ({ event, time, fields, source }) =>
      BELIEF_EVENTS.test(event) &&
      sources.has(source) &&
      Math.abs(first.time - time) <= BELIEFS_BEFORE_MS &&
      time <= first.time &&
      (fields.upstream === undefined || upstreams.has(String(fields.upstream))),
  );
  const ordered = [...beliefs, ...own].sort((a, b) => a.time - b.time);
  const told = ordered.map(({ time, event, fields, source }) => {
    const rest = Object.entries(fields).filter(([name]) => !SHOWN_BEFORE.has(name));
    return `${new Date(time).toISOString()} ${source} ${event} ${JSON.stringify(Object.fromEntries(rest))}`;
  });
  const request = own.find(({ event }) => event === 'request');
  const attempts = own.filter(({ event }) => event === 'attempt');
  return [...told, `cause: ${causeOf(request, attempts)}`];
};

const readLines = async (file: string): Promise<readonly LogLine[]> => {
  const lines: LogLine[] = [];
  for await (const text of createInterface({ input: createReadStream(file) })) {
    const line = parseLogLine(text, file);
    if (line) lines.push(line);
  }
  return lines;
};

/** Explains a request from log files. */
export const runExplain = async (
  requestId: string,
  files: readonly string[],
): Promise<Either<CliError, Answer>> => {
  if (requestId === '' || files.length === 0) {
    return Left({ kind: 'usage', message: 'explain REQUEST-ID LOG...' });
  }
  try {
    const lines = (await Promise.all(files.map(readLines))).flat();
    const told = explain(lines, requestId);
    return Right({ value: { request: requestId, lines: told }, lines: told });
  } catch (err) {
    const message = err instanceof Error ? err.message : String(err);
    return Left({ kind: 'usage', message: `a log can't be read: ${message}` });
  }
};
