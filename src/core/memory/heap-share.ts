/** Ratio of the heap that may hold what is kept for peers; the rest is for the process itself. */
const PEER_HEAP_RATIO = 0.25;
/** Ratio of the heap in use from which the process is near its end. */
const HEAP_SHORT_RATIO = 0.85;
/** Bytes of the heap that a request takes beside its head: its objects, timers and signals. */
const REQUEST_BYTES = 12 * 1024;
/** Bytes of the heap that a header takes beside its text: its strings and their places. */
const HEADER_BYTES = 64;

/** Bytes of the heap for each byte of a header of a few bytes. */
const SHORT_HEADER_RATIO = 8;

/** Returns the bytes of the heap that a request or answer takes by its headers, without a body. */
export const headCostOf = (rawHeaders: readonly string[]): number =>
  rawHeaders.reduce((sum, text) => sum + 2 * text.length, (HEADER_BYTES * rawHeaders.length) / 2);

/** Returns the bytes of the heap that the read part of a head takes, in short headers. */
export const unfinishedHeadCostOf = (bytes: number): number => SHORT_HEADER_RATIO * bytes;

/** Returns the bytes of the heap that a caller's request takes, without its body. */
export const requestCostOf = (rawHeaders: readonly string[]): number =>
  REQUEST_BYTES + headCostOf(rawHeaders);

/**
 * Returns how many buffered bytes one byte of the heap counts for, where both have one limit: the
 * heap may be much smaller than the host's memory.
 */
export const heapWeightOf = (bufferLimit: number, heapLimit: number): number =>
  Math.max(1, bufferLimit / (PEER_HEAP_RATIO * heapLimit));

/** Whether the process must let go of what it holds, as it would end when its heap is full. */
export const isHeapShort = (used: number, limit: number): boolean =>
  used > HEAP_SHORT_RATIO * limit;
