import { isIP } from 'node:net';
import { Left, Right, type Either } from 'purify-ts';

import { MILLIS_PER_SECOND, type Millis } from '../model';

import type { TomlProblemKind } from './toml-error';

/** The reason why a value was refused. `fix` tells the operator what to write instead. */
export interface FieldProblem {
  readonly kind: TomlProblemKind;
  readonly fix: string;
}

/** Checks and converts one value of a table. The value is undefined if the key is absent. */
export type TomlField<T> = (value: unknown) => Either<FieldProblem, T>;

const MILLIS_PER_UNIT: Readonly<Record<string, Millis>> = {
  ms: 1,
  s: MILLIS_PER_SECOND,
  m: 60 * MILLIS_PER_SECOND,
  h: 3600 * MILLIS_PER_SECOND,
  d: 86400 * MILLIS_PER_SECOND,
};

const BYTES_PER_UNIT: Readonly<Record<string, number>> = {
  B: 1,
  KB: 2 ** 10,
  MB: 2 ** 20,
  GB: 2 ** 30,
};

const MAX_PORT = 65535;
const NAME_PATTERN = /^[A-Za-z0-9][A-Za-z0-9._:-]{0,127}$/;
const METHOD_PATTERN = /^(\*|[A-Z]{1,20})$/;
const PATH_PATTERN = /^\/[!-~]*$/;

const refuse = (kind: TomlProblemKind, fix: string): Either<FieldProblem, never> =>
  Left({ kind, fix });

const refuseMissing = (fix: string): Either<FieldProblem, never> => refuse('missing-key', fix);

/** Accepts a string that matches `pattern`. */
const matching =
  (pattern: RegExp, fix: string): TomlField<string> =>
  (value) => {
    if (value === undefined) return refuseMissing(fix);
    if (typeof value !== 'string') return refuse('wrong-type', fix);
    return pattern.test(value) ? Right(value) : refuse('out-of-range', fix);
  };

/** Accepts a name of 1 to 128 letters, digits and `._:-` that starts with a letter or digit. */
export const name = matching(NAME_PATTERN, 'give a name of letters, digits and ._:- in quotes');

/** Accepts an HTTP method in capitals, or `*` for any. */
export const method = matching(METHOD_PATTERN, 'give an HTTP method in capitals, or "*"');

/** Accepts an absolute path without spaces. */
export const path = matching(PATH_PATTERN, 'give a path that starts with /');

/** Accepts an integer from `min` to `max`, both included. */
export const integer =
  (min: number, max: number): TomlField<number> =>
  (value) => {
    const fix = `give a whole number from ${min} to ${max}`;
    if (value === undefined) return refuseMissing(fix);
    if (typeof value === 'string') return refuse('wrong-type', `${fix}, without quotes`);
    if (typeof value !== 'number' || !Number.isInteger(value)) return refuse('wrong-type', fix);
    return value >= min && value <= max ? Right(value) : refuse('out-of-range', fix);
  };

/** Accepts a number from `min` to `max`, both included. */
export const number =
  (min: number, max: number): TomlField<number> =>
  (value) => {
    const fix = `give a number from ${min} to ${max}`;
    if (value === undefined) return refuseMissing(fix);
    if (typeof value !== 'number') return refuse('wrong-type', fix);
    return value >= min && value <= max ? Right(value) : refuse('out-of-range', fix);
  };

/** Accepts a TCP port. */
export const port = integer(1, MAX_PORT);

/** Accepts true or false. */
export const flag: TomlField<boolean> = (value) => {
  if (value === undefined) return refuseMissing('give true or false');
  return typeof value === 'boolean' ? Right(value) : refuse('wrong-type', 'give true or false');
};

/** Accepts an IPv4 or IPv6 address. */
export const ipAddress: TomlField<string> = (value) => {
  const fix = 'give an IP address in quotes, such as "127.0.0.1"';
  if (value === undefined) return refuseMissing(fix);
  if (typeof value !== 'string') return refuse('wrong-type', fix);
  return isIP(value) > 0 ? Right(value) : refuse('out-of-range', fix);
};

/** Accepts an http URL without path or query, and returns it without a slash at its end. */
export const baseUrl: TomlField<string> = (value) => {
  const fix = 'give a URL such as "http://127.0.0.1:9000"';
  if (value === undefined) return refuseMissing(fix);
  if (typeof value !== 'string') return refuse('wrong-type', fix);
  const valid = /^http:\/\/[^/?#\s]+\/?$/.test(value) && URL.canParse(value);
  return valid ? Right(value.replace(/\/$/, '')) : refuse('out-of-range', fix);
};

/**
 * Accepts a number with one of `units` behind it; `min`, `max` and the result are in the unit whose
 * factor is 1.
 */
const quantity =
  (
    units: Readonly<Record<string, number>>,
    fix: string,
    min: number,
    max: number,
  ): TomlField<number> =>
  (value) => {
    if (value === undefined) return refuseMissing(fix);
    if (typeof value !== 'string') return refuse('wrong-unit', fix);
    const match = /^(\d+(?:\.\d+)?)\s*([A-Za-z]+)$/.exec(value);
    const unit = units[match?.[2] ?? ''];
    if (!match || unit === undefined) return refuse('wrong-unit', fix);
    const amount = Number(match[1]) * unit;
    if (amount >= min && amount <= max) return Right(amount);
    return refuse('out-of-range', `${fix}, within the range of this setting`);
  };

/** Accepts a time with its unit ("150ms", "2s", "5m", "12h", "7d"), and returns milliseconds. */
export const duration = (min: Millis, max: Millis): TomlField<Millis> =>
  quantity(
    MILLIS_PER_UNIT,
    'give a time with its unit in quotes, such as "150ms" or "2s"',
    min,
    max,
  );

/**
 * Accepts a size with its unit ("512B", "16KB", "256MB", "1GB"), and returns bytes; 1 KB is 1024
 * bytes.
 */
export const bytes = (min: number, max: number): TomlField<number> =>
  quantity(
    BYTES_PER_UNIT,
    'give a size with its unit in quotes, such as "16KB" or "256MB"',
    min,
    max,
  );

/** Makes a field optional; `absent` is its value if the key is absent. */
export const optional =
  <T, D>(field: TomlField<T>, absent: D): TomlField<T | D> =>
  (value) =>
    value === undefined ? Right(absent) : field(value);
