import type { Simulator } from './simulator';

const MAX_RECORDS_PER_READ = 100;
/** Longest time that a read without new records waits for its response. */
const MAX_POLL_WAIT_MS = 200;
const APPEND_TIMEOUT_MS = 500;

/** `unsure` means that the append may have taken effect or may yet do so. */
export type AppendOutcome = 'appended' | 'unsure' | 'unavailable';
/**
 * `next` is the offset after the last record of the log. `trimmed` means that the requested offset
 * is no longer retained; `first` is the oldest offset that is.
 */
export type ReadOutcome =
  | { readonly kind: 'read'; readonly values: readonly unknown[]; readonly next: number }
  | { readonly kind: 'trimmed'; readonly first: number }
  | { readonly kind: 'failed' };

/**
 * A log with one stream for each claim range: limited retention, outages, lost responses, and
 * appends that take effect late.
 */
export class FakeLog {
  isInOutage = false;

  private readonly streams = new Map<
    number,
    { records: { value: unknown; at: number }[]; first: number }
  >();

  /** Milliseconds that a record is retained; some values are shorter than claimants need. */
  private readonly retention: number;

  constructor(private readonly sim: Simulator) {
    this.retention = sim.pick([25_000, 50_000, 75_000, 90_000]);
  }

  /** Appends a record to a range's stream; `done` gets the outcome as the sender sees it. */
  append(range: number, value: unknown, done: (end: AppendOutcome) => void): void {
    const { sim } = this;
    if (this.isInOutage && sim.chance(0.6)) {
      sim.after(sim.between(1, 20), () => done('unavailable'));
      return;
    }
    const draw = sim.between(0, 1);
    const unsure = (): void => sim.after(APPEND_TIMEOUT_MS, () => done('unsure'));
    if (this.isInOutage ? draw < 0.5 : draw < 0.02) return unsure();
    if (this.isInOutage || draw < 0.06) {
      sim.after(sim.between(1, 40_000), () => this.storeRecord(range, value));
      return unsure();
    }
    sim.after(sim.between(1, 15), () => this.storeRecord(range, value));
    if (draw < 0.1) return unsure();
    sim.after(sim.between(15, 40), () => done('appended'));
  }

  /** Reads up to `MAX_RECORDS_PER_READ` records of a range's stream from the offset `from`. */
  read(range: number, from: number, done: (end: ReadOutcome) => void): void {
    const { sim } = this;
    if (this.isInOutage) {
      sim.after(sim.between(1, 300), () => done({ kind: 'failed' }));
      return;
    }
    const { records, first } = this.trimmedStream(range);
    if (from < first) {
      sim.after(5, () => done({ kind: 'trimmed', first }));
      return;
    }
    const next = first + records.length;
    const batch = records.slice(from - first, from - first + MAX_RECORDS_PER_READ);
    const values = batch.map(({ value }) => value);
    sim.after(values.length ? sim.between(1, 10) : sim.between(1, MAX_POLL_WAIT_MS), () =>
      done({ kind: 'read', values, next }),
    );
  }

  private storeRecord(range: number, value: unknown): void {
    this.trimmedStream(range).records.push({ value, at: this.sim.now });
  }

  /** Returns a range's stream after removing the records past their retention. */
  private trimmedStream(range: number): {
    records: { value: unknown; at: number }[];
    first: number;
  } {
    const stream = this.streams.get(range) ?? { records: [], first: 0 };
    this.streams.set(range, stream);
    while (stream.records[0] && stream.records[0].at < this.sim.now - this.retention) {
      stream.records.shift();
      stream.first += 1;
    }
    return stream;
  }
}
