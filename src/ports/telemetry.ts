/** A value in a log line. */
export type EventField = string | number | boolean;

/** Writes log lines and metrics. Event names are in kebab-case; labels take few distinct values. */
export interface Telemetry {
  /** Writes one log line with the event's name and fields. */
  event(name: string, fields?: Readonly<Record<string, EventField>>): void;
  /** Adds one to the counter with these labels. */
  count(counter: string, labels?: Readonly<Record<string, string>>): void;
  /** Records a latency in milliseconds. */
  latency(name: string, millis: number): void;
  /** Sets a gauge. */
  gauge(name: string, value: number, labels?: Readonly<Record<string, string>>): void;
}
