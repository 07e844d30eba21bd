/** Type guards for values of unknown shape, from which decoders are built. */

/** Tells whether a value of unknown shape has the type `T`. */
export type Guard<T> = (value: unknown) => value is T;

/** An object whose fields have not been checked yet. */
export type UnknownObject = Readonly<Record<string, unknown>>;

/** Tells whether a value is an object, but neither null nor an array. */
export const isObject = (value: unknown): value is UnknownObject =>
  typeof value === 'object' && value !== null && !Array.isArray(value);

export const isString = (value: unknown): value is string => typeof value === 'string';

export const isFiniteNumber = (value: unknown): value is number =>
  typeof value === 'number' && Number.isFinite(value);

/** Tells whether a value is a safe integer of 0 or more. */
export const isCount = (value: unknown): value is number =>
  Number.isSafeInteger(value) && (value as number) >= 0;

/** Tells whether a value is an array whose entries all pass the guard. */
export const isArrayOf = <T>(value: unknown, guard: Guard<T>): value is readonly T[] =>
  Array.isArray(value) && value.every(guard);
