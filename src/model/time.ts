/** A time in milliseconds on this process's monotonic clock; deadlines are stored as instants. */
export type Instant = number;

/** A duration in milliseconds. */
export type Millis = number;

/** A time in milliseconds since the Unix epoch; only for values that leave the process. */
export type WallTime = number;

export const MILLIS_PER_SECOND = 1000;
