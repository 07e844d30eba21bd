import { isObject } from '../../src/model';

/** An event of one host; times are in milliseconds on the clock that the log lines carry. */
export interface LogEvent {
  readonly host: string;
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

/**
 * Parses a log of several hosts: each line is a time in seconds, the name of the host and the JSON
 * of its log line. Other lines, such as those of a report around the log, are left out.
 */
export const parseLog = (text: string): readonly LogEvent[] =>
  text.split('\n').flatMap((line) => {
    const match = /^\s*(-?\d+\.\d+) (\S+) (\{.*\})\s*$/.exec(line);
    const fields = parseJson(match?.[3] ?? '');
    if (!match || !isObject(fields) || typeof fields.event !== 'string') return [];
    const at = 1000 * Number(match[1]);
    return [{ host: match[2] ?? '', at, name: fields.event, fields }];
  });
