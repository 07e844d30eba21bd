/** Polling of the platform's host list. */
import type { Millis } from '../model';
import type { Clock, HostList, ListedHost, Telemetry } from '../ports';

/** Least time in milliseconds between two reads. */
const READ_PERIOD_MS: Millis = 1000;
/**
 * Time in milliseconds between two reads for each listed host, so that the bytes read per second
 * stay the same however large the fleet is.
 */
const READ_PERIOD_PER_HOST_MS: Millis = 100;
const READ_TIMEOUT_MS: Millis = 2000;

/** Holds the parts of the node that the poller uses. */
export interface HostListPollerContext {
  readonly hosts: HostList;
  readonly clock: Clock;
  readonly telemetry: Telemetry;
  /** Called with each host list that was read. */
  onRead(hosts: readonly ListedHost[]): void;
}

/** Polls the host list until closed. A failed read is counted and changes nothing else. */
export class HostListPoller {
  private timer: NodeJS.Timeout | undefined;

  private isClosed = false;

  /** Number of hosts in the last list read. */
  private hostCount = 0;

  constructor(private readonly context: HostListPollerContext) {}

  /** Reads the list, then schedules the next read. Resolves after the first read. */
  async start(): Promise<void> {
    await this.read();
    if (this.isClosed) return;
    this.timer = setTimeout(() => {
      void this.start();
    }, this.period());
  }

  close(): void {
    this.isClosed = true;
    clearTimeout(this.timer);
  }

  private period(): Millis {
    return Math.max(READ_PERIOD_MS, READ_PERIOD_PER_HOST_MS * this.hostCount);
  }

  private async read(): Promise<void> {
    const { hosts, clock, telemetry, onRead } = this.context;
    const result = await hosts.read(clock.now() + READ_TIMEOUT_MS);
    result.caseOf({
      Left: (err) => telemetry.count('host-list-failed', { reason: err.kind }),
      Right: (listed) => {
        this.hostCount = listed.length;
        onRead(listed);
      },
    });
  }
}
