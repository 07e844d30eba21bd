import { createReadStream } from 'node:fs';
import { createInterface } from 'node:readline';
import { Either, Left, Right } from 'purify-ts';

import { isFiniteNumber, isObject, isString, type UnknownObject } from '../model';

import type { CliError } from './cli-error';
import type { CommandOutput } from './output';

/** A line of a gateway's log, parsed. */
export interface LogLine {
  /** Unix milliseconds on the clock of the host that wrote the line. */
  readonly time: number;
  readonly event: string;
  /** All fields of the line, `time` and `event` included. */
  readonly fields: UnknownObject;
  /** The name of the file that the line was read from. */
  readonly source: string;
}

/**
 * Time in milliseconds before a request's first line from which state changes are shown with it.
 */
const STATE_LOOKBACK_MS = 10_000;
/** Fields left out of the JSON of an output line: they precede it or carry no information. */
const OMITTED_FIELDS: ReadonlySet<string> = new Set(['time', 'event', 'level']);
/**
 * Names of events that report a change in what the gateway knows: its configuration, upstreams or
 * peers.
 */
const STATE_EVENT_PATTERN = /^(upstream|config|feed|settings|owners|limit|pause|keys|quota)-/;
/** Names of events that report what an upstream has announced of itself. */
const ANNOUNCEMENT_EVENTS: ReadonlySet<string> = new Set([
  'limit-announced',
  'limit-ended',
  'pause-announced',
  'upstream-leaving',
]);
/** The `why` of a request that announcements of upstreams held back. */
const HELD_BACK = 'held-back';

/**
 * Parses a log line. Text before the JSON, such as a log collector's prefix, is skipped. Returns
 * undefined if the text is not a gateway's log line.
 */
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

const keyOf = ({ fields: { keyDigest } }: LogLine): string =>
  isString(keyDigest) ? `the key with digest ${keyDigest}` : 'a missing or repeated key';

const causeOf = (request: LogLine | undefined, attempts: readonly LogLine[]): string => {
  if (!request) return 'no log given here has the end of the request: its node died or was cut off';
  const { outcome, why, status, upstream } = request.fields;
  // An attempt that hangs may end after the one whose answer was passed on to the caller.
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
      if (why === HELD_BACK) {
        return `all upstreams of ${String(request.fields.service)} had announced limits, pauses or departures; the gateway refused it for ${String(request.fields.retryAfterMs)} ms and it did not run`;
      }
      return `the gateway refused it (${String(why)}) and it did not run`;
    case 'lost':
      return `${at} gave no usable answer (${String(why)}); it ran or may have run ${runs} time(s)`;
    case 'answer':
      return isFiniteNumber(status) && status >= 500
        ? `${at} answered ${status} after ${String(last?.tookMs)} ms, and it was not repeated further${others.join('')}`
        : `it was answered ${String(status)} by upstream ${String(upstream)}`;
    case 'nobody':
      return 'the caller left before the answer';
    case 'unauthorized':
      return `${keyOf(request)} is of no workspace in the configuration in force; it did not run`;
    case 'over-quota':
      return `workspace ${String(request.fields.workspace)} had used up its quota; it did not run, and was to come back after ${String(request.fields.retryAfterMs)} ms`;
    default:
      return `it ended as ${String(outcome)}`;
  }
};

/**
 * Returns a request's log lines and the state changes at its gateways shortly before it, in order
 * of time, and a last line with the cause of its outcome. Lines of different sources may be out of
 * order by as much as their hosts' clocks differ.
 */
export const explainRequest = (lines: readonly LogLine[], requestId: string): readonly string[] => {
  const own = lines.filter(({ fields }) => fields.request === requestId);
  const [first] = own;
  if (!first) {
    return [
      `no line names request ${requestId}: it reached none of these nodes, or its node died before its end`,
    ];
  }
  const upstreams = new Set(own.map(({ fields }) => fields.upstream).filter(isString));
  const sources = new Set(own.map(({ source }) => source));
  const heldBack = own.find(({ fields }) => fields.why === HELD_BACK)?.fields.service;
  const hasHeldBack = ({ event, fields }: LogLine): boolean =>
    heldBack !== undefined && ANNOUNCEMENT_EVENTS.has(event) && fields.service === heldBack;
  const stateChanges = lines.filter(
    (line) =>
      STATE_EVENT_PATTERN.test(line.event) &&
      sources.has(line.source) &&
      first.time - line.time <= STATE_LOOKBACK_MS &&
      line.time <= first.time &&
      (line.fields.upstream === undefined ||
        upstreams.has(String(line.fields.upstream)) ||
        hasHeldBack(line)),
  );
  const ordered = [...stateChanges, ...own].sort((a, b) => a.time - b.time);
  const eventLines = ordered.map(({ time, event, fields, source }) => {
    const rest = Object.entries(fields).filter(([name]) => !OMITTED_FIELDS.has(name));
    return `${new Date(time).toISOString()} ${source} ${event} ${JSON.stringify(Object.fromEntries(rest))}`;
  });
  const request = own.find(({ event }) => event === 'request');
  const attempts = own.filter(({ event }) => event === 'attempt');
  return [...eventLines, `cause: ${causeOf(request, attempts)}`];
};

const readLogLines = async (file: string): Promise<Either<CliError, readonly LogLine[]>> => {
  const lines: LogLine[] = [];
  try {
    for await (const text of createInterface({ input: createReadStream(file) })) {
      const line = parseLogLine(text, file);
      if (line) lines.push(line);
    }
    return Right(lines);
  } catch (err) {
    const detail = err instanceof Error ? err.message : String(err);
    return Left({ kind: 'file-unreadable', file, detail });
  }
};

/** Runs `explain REQUEST-ID LOG...`: explains a request's outcome from log files. */
export const runExplain = async (
  requestId: string,
  files: readonly string[],
): Promise<Either<CliError, CommandOutput>> => {
  if (requestId === '' || files.length === 0) {
    return Left({ kind: 'usage', message: 'explain REQUEST-ID LOG...' });
  }
  const read = Either.sequence(await Promise.all(files.map(readLogLines)));
  return read.map((lines) => {
    const explanation = explainRequest(lines.flat(), requestId);
    return { value: { request: requestId, lines: explanation }, lines: explanation };
  });
};
