import { isObject } from '../../src/model';

/** An event of one host. */
export interface LogEvent {
  readonly host: string;
  /** When it happened, in milliseconds on the scale of the times before the lines. */
  readonly at: number;
  readonly name: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

const parseJson = (text: string): unknown => {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
};

/** A log line with the time at which it was written out, which is later than its event. */
interface WrittenLine {
  readonly host: string;
  readonly writtenAt: number;
  readonly name: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

const parseLine = (line: string): readonly WrittenLine[] => {
  const match = /^\s*(-?\d+\.\d+) (\S+) (\{.*\})\s*$/.exec(line);
  const fields = parseJson(match?.[3] ?? '');
  if (!match || !isObject(fields) || typeof fields.event !== 'string') return [];
  return [{ host: match[2] ?? '', writtenAt: 1000 * Number(match[1]), name: fields.event, fields }];
};

const timeOf = ({ fields }: WrittenLine): number | undefined =>
  typeof fields.time === 'number' ? fields.time : undefined;

/**
 * Parses a log of several hosts: each line is a time in seconds, the name of the host and the JSON
 * of its log line. Other lines, such as those of a report around the log, are left out. Processes
 * write their lines in batches; the field `time`, in milliseconds, says when an event took place.
 * The hosts' clocks have to agree.
 */
export const parseLog = (text: string): readonly LogEvent[] => {
  const lines = text.split('\n').flatMap(parseLine);
  const offset = lines.reduce(
    (highest, line) => Math.max(highest, (timeOf(line) ?? -Infinity) - line.writtenAt),
    Number.NEGATIVE_INFINITY,
  );
  return lines
    .map((line) => {
      const { host, name, fields, writtenAt } = line;
      const time = timeOf(line);
      return { host, name, fields, at: time === undefined ? writtenAt : time - offset };
    })
    .sort((a, b) => a.at - b.at);
};
