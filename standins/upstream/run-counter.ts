/** JSON answer of `GET /_runs`. A run is counted when the upstream starts to run a request. */
export interface RunCounts {
  readonly total: number;
  /** Runs by idempotency key. */
  readonly byKey: Readonly<Record<string, number>>;
  readonly byRequestId: Readonly<Record<string, number>>;
  /** Number of requests that arrived, shed ones included. */
  readonly arrivals: number;
}

const increment = (counts: Map<string, number>, key: string | undefined): void => {
  if (key !== undefined) counts.set(key, (counts.get(key) ?? 0) + 1);
};

/** Counts the arrivals and runs of one upstream. */
export class RunCounter {
  private total = 0;

  private arrivals = 0;

  private readonly byKey = new Map<string, number>();

  private readonly byRequestId = new Map<string, number>();

  countArrival(): void {
    this.arrivals += 1;
  }

  countRun(key: string | undefined, requestId: string | undefined): void {
    this.total += 1;
    increment(this.byKey, key);
    increment(this.byRequestId, requestId);
  }

  counts(): RunCounts {
    return {
      total: this.total,
      arrivals: this.arrivals,
      byKey: Object.fromEntries(this.byKey),
      byRequestId: Object.fromEntries(this.byRequestId),
    };
  }
}
