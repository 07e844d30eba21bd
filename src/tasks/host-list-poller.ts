/** Reads the platform's host list again and again, and tells of each reading. */
import type { Millis } from '../model';
import type { Clock, HostList, ListedHost, Telemetry } from '../ports';

const READ_EVERY: Millis = 1000;
/** For each listed host, so that the bytes read a second stay the same in a large fleet. */
const READ_EVERY_PER_HOST: Millis = 100;
const READ_TIMEOUT: Millis = 2000;

/** What the watch works with. */
export interface HostListPollerContext {
  readonly hosts: HostList;
  readonly clock: Clock;
  readonly telemetry: Telemetry;
  onRead(hosts: readonly ListedHost[]): void;
}

/** Polls the host list until closed. An outage of the list leaves the last reading in place. */
export class HostListPoller {
  private timer: NodeJS.Timeout | undefined;

  private isClosed = false;

  /** Hosts in the last reading. */
  private listed = 0;

  constructor(private readonly context: HostListPollerContext) {}

  /** Reads once, then on. */
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
    return Math.max(READ_EVERY, READ_EVERY_PER_HOST * this.listed);
  }

  private async read(): Promise<void> {
    const { hosts, clock, telemetry, onRead } = this.context;
    const reading = await hosts.read(clock.now() + READ_TIMEOUT);
    reading.caseOf({
      Left: (err) => telemetry.count('host-list-failed', { reason: err.kind }),
      Right: (listed) => {
        this.listed = listed.length;
        onRead(listed);
      },
    });
  }
}
