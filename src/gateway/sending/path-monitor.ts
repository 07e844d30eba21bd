import net from 'node:net';

import { detached, guarded } from '../../adapters/guarded';
import { PathState, type PathCheck } from '../../core/path';
import type { Endpoint, Instant, Millis } from '../../model';

import type { GatewayContext } from '../context';

/** Time in milliseconds within which an upstream that can be reached takes a connection. */
const CONNECT_TIMEOUT_MS: Millis = 200;
/**
 * Time in milliseconds beyond that by which a check that ends late proves nothing: this process was
 * not running, and its timers fire before it sees connections.
 */
const MAX_LAG_MS: Millis = 100;
/** Number of upstreams that are tried in one check. */
const CHECKED_UPSTREAM_COUNT = 4;
/** Interval in milliseconds at which a path that is cut is looked at. */
const RECHECK_POLL_MS: Millis = 50;

/** Functions that the monitor calls. */
export interface PathMonitorPorts {
  /** Returns the endpoints of ready upstreams, those of one service in each list. */
  endpoints(): readonly (readonly Endpoint[])[];
  /** Called when the path is found cut, or good again. */
  onChange(isCut: boolean): void;
  /** Whether an endpoint takes a connection in time; tests replace it. */
  connects?(endpoint: Endpoint): Promise<boolean>;
}

/** Tries a TCP connection, and closes it at once. */
const takesConnection = ({ address, port }: Endpoint): Promise<boolean> =>
  new Promise((resolve) => {
    const socket = net.connect({ host: address, port });
    const settle = (connected: boolean): void => {
      socket.destroy();
      resolve(connected);
    };
    socket.setTimeout(
      CONNECT_TIMEOUT_MS,
      guarded('path-monitor timeout', () => settle(false)),
    );
    socket.once(
      'connect',
      guarded('path-monitor connect', () => settle(true)),
    );
    socket.once(
      'error',
      guarded('path-monitor error', () => settle(false)),
    );
  });

/**
 * Tells whether this gateway's own path to the upstreams is cut. Where a connection fails or all
 * upstreams are silent, it tries bare connections to a few upstreams of several services; while the
 * path is cut, it goes on trying.
 */
export class PathMonitor {
  private readonly state = new PathState();

  private check: Promise<void> | undefined;

  private timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly context: GatewayContext,
    private readonly ports: PathMonitorPorts,
  ) {}

  get isCut(): boolean {
    return this.state.isCut;
  }

  /** Records that an upstream has answered. */
  recordContact(): void {
    this.state.recordContact(this.context.clock.now());
  }

  /** Begins a check after a connection failed, unless one has just ended. */
  recordFailedConnection(): void {
    detached('path-monitor', this.checkIfDue());
  }

  /**
   * Resolves with whether a missing answer can be put down to its upstream: the path is good, as far
   * as a check can tell.
   */
  async confirm(): Promise<boolean> {
    if (!this.isCut && this.state.isSilent(this.context.clock.now())) await this.checkIfDue();
    else await this.check;
    return !this.isCut;
  }

  /**
   * Resolves with whether a connection that was reset or refused can be put down to its upstream;
   * unlike silence, this may be the path's fault while other upstreams still answer.
   */
  async confirmRefusal(): Promise<boolean> {
    await this.checkIfDue();
    return !this.isCut;
  }

  close(): void {
    clearInterval(this.timer);
  }

  private async checkIfDue(): Promise<void> {
    if (!this.check && this.state.mayCheck(this.context.clock.now())) {
      this.check = this.runCheck().finally(() => {
        this.check = undefined;
      });
    }
    await this.check;
  }

  private async runCheck(): Promise<void> {
    const { clock, telemetry } = this.context;
    const startedAt = clock.now();
    const endpoints = this.drawEndpoints();
    const results = await Promise.all(
      endpoints.map((endpoint) => (this.ports.connects ?? takesConnection)(endpoint)),
    );
    const now = clock.now();
    if (now - startedAt > CONNECT_TIMEOUT_MS + MAX_LAG_MS) {
      telemetry.count('path_checks', { result: 'late' });
      return;
    }
    const reachable = results.filter((connected) => connected).length;
    telemetry.count('path_checks', { result: reachable > 0 ? 'reachable' : 'unreachable' });
    this.apply({ reachable, unreachable: results.length - reachable }, now);
  }

  private apply(check: PathCheck, now: Instant): void {
    const { telemetry } = this.context;
    const change = this.state.applyCheck(check, now);
    switch (change?.kind) {
      case 'cut':
        telemetry.event('path-cut', { unreachable: check.unreachable });
        this.timer = setInterval(
          guarded('path-monitor timer', () => {
            detached('path-monitor', this.checkIfDue());
          }),
          RECHECK_POLL_MS,
        );
        this.ports.onChange(true);
        return;
      case 'restored':
        telemetry.event('path-restored', {
          reachable: check.reachable,
          cutForMs: Math.round(now - change.cutSince),
        });
        clearInterval(this.timer);
        this.ports.onChange(false);
        break;
      case undefined:
    }
  }

  /** Draws upstreams at random, in turn from each service. */
  private drawEndpoints(): readonly Endpoint[] {
    const lists = this.ports.endpoints().map((list) => [...list]);
    const drawn: Endpoint[] = [];
    while (drawn.length < CHECKED_UPSTREAM_COUNT && lists.some((list) => list.length > 0)) {
      lists.forEach((list) => {
        if (drawn.length < CHECKED_UPSTREAM_COUNT)
          drawn.push(...list.splice(Math.floor(this.context.random() * list.length), 1));
      });
    }
    return drawn;
  }
}
