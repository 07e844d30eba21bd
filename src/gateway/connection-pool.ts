import { IdleConnectionLimit } from '../core/gateway';
import type { Endpoint, GatewayUpstream, Instant, Millis } from '../model';
import type { Clock } from '../ports';

import { UpstreamConnection, type Exchange, type ExchangeResult } from './upstream-connection';

/** Time to connect; within a region a healthy upstream takes a millisecond. */
const CONNECT_TIME: Millis = 200;
/** A reset on a connection that was idle for less is the upstream's failure, not its time-out. */
const LEAST_STALE: Millis = 100;
/** Idle connections kept to one upstream. */
const MOST_IDLE = 8;

/** An exchange, and whether it may be sent on a connection that might be closing. */
export interface PooledExchange extends Exchange {
  readonly idempotent: boolean;
}

/** Whether a request was reset on a connection that the upstream may have dropped before. */
export const isStaleReset = (result: ExchangeResult): boolean =>
  result.kind === 'failed' && result.why === 'reset' && result.idleFor >= LEAST_STALE;

const keyOf = ({ id, born, endpoint }: GatewayUpstream): string =>
  `${id} ${born} ${endpoint.address}:${endpoint.port}`;

/** Connections to upstreams; those of one run of an upstream are never used for another. */
export class ConnectionPool {
  private readonly idle = new Map<string, UpstreamConnection[]>();

  private readonly open = new Set<UpstreamConnection>();

  private readonly idleLimit = new IdleConnectionLimit();

  /** New connections so far. */
  connects = 0;

  constructor(
    private readonly idHeader: string,
    private readonly clock: Clock,
  ) {}

  async run(upstream: GatewayUpstream, exchange: PooledExchange): Promise<ExchangeResult> {
    const now = this.clock.now();
    const key = keyOf(upstream);
    const connection = this.takeIdle(key, exchange.idempotent, now);
    const connectBy: Instant = Math.min(now + CONNECT_TIME, exchange.deadline);
    const used = connection ?? this.connect(key, upstream.endpoint);
    const result = await used.run(exchange, connectBy);
    if (result.kind === 'failed' && isStaleReset(result)) {
      this.idleLimit.recordReset(result.idleFor, this.clock.now());
    }
    return result;
  }

  /** Closes the connections of an upstream that has left; those in use end with their request. */
  forget(upstream: GatewayUpstream): void {
    const key = keyOf(upstream);
    const idle = this.idle.get(key) ?? [];
    this.idle.delete(key);
    idle.forEach((connection) => connection.close());
  }

  close(): void {
    this.open.forEach((connection) => connection.close());
  }

  private connect(key: string, endpoint: Endpoint): UpstreamConnection {
    this.connects += 1;
    const connection = new UpstreamConnection(
      endpoint,
      this.idHeader,
      this.clock,
      (idle) => {
        const list = this.idle.get(key) ?? [];
        list.push(idle);
        this.idle.set(key, list);
        if (list.length > MOST_IDLE) list.shift()?.close();
      },
      (closed) => {
        this.open.delete(closed);
        const list = this.idle.get(key);
        const at = list?.indexOf(closed) ?? -1;
        if (list && at >= 0) list.splice(at, 1);
        if (list?.length === 0) this.idle.delete(key);
      },
    );
    this.open.add(connection);
    return connection;
  }

  private takeIdle(key: string, idempotent: boolean, now: Instant): UpstreamConnection | undefined {
    const list = this.idle.get(key) ?? [];
    for (;;) {
      const connection = list.pop();
      if (!connection) return undefined;
      const isFresh = now - connection.idleSince < this.idleLimit.maxIdle(idempotent, now);
      if (connection.isOpen && now < connection.usableUntil && isFresh) return connection;
      connection.close();
    }
  }
}
