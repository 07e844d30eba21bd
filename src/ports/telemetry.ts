/** A value in a log line. */
export type EventField = string | number | boolean;

/** Event lines and counters. Names are kebab-case, values low in cardinality. */
export interface Telemetry {
  /** Writes one line of key=value pairs. */
  event(name: string, fields?: Readonly<Record<string, EventField>>): void;
  /** Adds one to a counter. */
  count(counter: string, labels?: Readonly<Record<string, string>>): void;
  /** Records a latency in milliseconds. */
  latency(name: string, millis: number): void;
  /** Sets a gauge. */
  gauge(name: string, value: number, labels?: Readonly<Record<string, string>>): void;
}
