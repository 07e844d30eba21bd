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

const MAX_PORT = 65_535;
const IPV4_PART = '(25[0-5]|2[0-4]\\d|1?\\d?\\d)';
const IPV4_ADDRESS = new RegExp(`^(${IPV4_PART}\\.){3}${IPV4_PART}$`);
/** Characters of an IPv6 address; which of them are one, the system decides as it connects. */
const IPV6_ADDRESS = /^[0-9a-f]{0,4}(:[0-9a-f]{0,4}){2,7}$/i;

/** Tells whether a value is an IP address in text form. */
export const isIpAddress = (value: unknown): value is string =>
  isString(value) && (IPV4_ADDRESS.test(value) || IPV6_ADDRESS.test(value));

/** Tells whether a value is the number of a port to which a connection can be made. */
export const isPort = (value: unknown): value is number =>
  isCount(value) && value > 0 && value <= MAX_PORT;
