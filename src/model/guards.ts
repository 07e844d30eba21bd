/** Checks of values from outside, which decoders are made of. */

/** Tells whether a value from outside has the type. */
export type Guard<T> = (value: unknown) => value is T;

/** An object whose fields are still to be checked. */
export type UnknownObject = Readonly<Record<string, unknown>>;

export const isObject = (value: unknown): value is UnknownObject =>
  typeof value === 'object' && value !== null && !Array.isArray(value);

export const isString = (value: unknown): value is string => typeof value === 'string';

export const isFiniteNumber = (value: unknown): value is number =>
  typeof value === 'number' && Number.isFinite(value);

/** A whole number from 0. */
export const isCount = (value: unknown): value is number =>
  Number.isSafeInteger(value) && (value as number) >= 0;

/** An array of which every entry passes. */
export const isArrayOf = <T>(value: unknown, guard: Guard<T>): value is readonly T[] =>
  Array.isArray(value) && value.every(guard);
