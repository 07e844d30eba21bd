import { IdleConnectionLimit } from '../../core/gateway';
import type { Peer } from '../../core/memory';
import type { GatewayUpstream, Instant, Millis } from '../../model';

import type { AnswerHead } from './answer-parser';
import type { Exchange, ExchangeResult } from './exchange';
import { UpstreamConnection, type ConnectionContext } from './upstream-connection';

/** Time-out in milliseconds to connect; a healthy upstream in the same region takes about 1 ms. */
const CONNECT_TIMEOUT_MS: Millis = 200;
/**
 * Minimum idle time in milliseconds for a reset to be ascribed to the upstream's idle time-out;
 * after a shorter one it is a failure of the upstream.
 */
const MIN_STALE_IDLE_MS: Millis = 100;
/** Maximum number of idle connections kept to one upstream. */
const MAX_IDLE_CONNECTION_COUNT = 8;

/** An exchange over a pooled connection. */
export interface PooledExchange extends Exchange {
  /** Whether the request may be retried, and so may use a connection that might be closing. */
  readonly idempotent: boolean;
}

/** Whether a request was reset on a connection that the upstream may have dropped while idle. */
export const isStaleReset = (result: ExchangeResult): boolean =>
  result.kind === 'failed' && result.why === 'reset' && result.idleFor >= MIN_STALE_IDLE_MS;

/** What connections are made to: one run of an upstream, or of another gateway. */
export type ConnectionTarget = Pick<GatewayUpstream, 'id' | 'born' | 'endpoint'>;

/** Returns the key of the connections to one run of an upstream (`born`) at one address. */
const keyOf = ({ id, born, endpoint }: ConnectionTarget): string =>
  `${id} ${born} ${endpoint.address}:${endpoint.port}`;

/**
 * Pools connections to upstreams; a connection to one run of an upstream is never used for another.
 */
export class ConnectionPool<Target extends ConnectionTarget = GatewayUpstream> {
  /** Idle connections by key, the most recently used last. */
  private readonly idle = new Map<string, UpstreamConnection[]>();

  /** The keys of all connections, idle or in use. */
  private readonly open = new Map<UpstreamConnection, string>();

  private readonly idleLimit = new IdleConnectionLimit();

  /** Number of connections opened so far. */
  connectCount = 0;

  /** Number of connections that are open, idle or in use. */
  get openCount(): number {
    return this.open.size;
  }

  constructor(
    private readonly kind: Extract<Peer['kind'], 'upstream' | 'gateway'>,
    private readonly context: ConnectionContext,
    /** Receives the head of every answer on a connection to the upstream. */
    private readonly onAnswerHead: (upstream: Target, head: AnswerHead) => void,
  ) {}

  /** Sends a request on an idle connection that is safe to reuse, or else on a new one. */
  async run(upstream: Target, exchange: PooledExchange): Promise<ExchangeResult> {
    const now = this.context.clock.now();
    const key = keyOf(upstream);
    const connection = this.takeIdle(key, exchange.idempotent, now);
    const connectBy: Instant = Math.min(now + CONNECT_TIMEOUT_MS, exchange.deadline);
    const used = connection ?? this.connect(key, upstream);
    const result = await used.run(exchange, connectBy);
    if (result.kind === 'failed' && isStaleReset(result)) {
      this.idleLimit.recordReset(result.idleFor, this.context.clock.now());
    }
    return result;
  }

  /** Closes the connections of an upstream that has left; those in use at their next answer. */
  forget(upstream: Target): void {
    const key = keyOf(upstream);
    const idle = this.idle.get(key) ?? [];
    this.idle.delete(key);
    idle.forEach((connection) => connection.close());
    this.open.forEach((openKey, connection) => {
      if (openKey === key) connection.retire();
    });
  }

  /** Closes all idle connections; they may have gone silent with the path. */
  closeIdle(): void {
    const idle = [...this.idle.values()].flat();
    this.idle.clear();
    idle.forEach((connection) => connection.close());
  }

  close(): void {
    this.open.forEach((_key, connection) => connection.close());
  }

  private connect(key: string, upstream: Target): UpstreamConnection {
    this.connectCount += 1;
    const connection = new UpstreamConnection(
      upstream.endpoint,
      { kind: this.kind, id: upstream.id },
      this.context,
      (head) => this.onAnswerHead(upstream, head),
      (idle) => {
        const list = this.idle.get(key) ?? [];
        list.push(idle);
        this.idle.set(key, list);
        if (list.length > MAX_IDLE_CONNECTION_COUNT) list.shift()?.close();
      },
      (closed) => {
        this.open.delete(closed);
        const list = this.idle.get(key);
        const at = list?.indexOf(closed) ?? -1;
        if (list && at >= 0) list.splice(at, 1);
        if (list?.length === 0) this.idle.delete(key);
      },
    );
    this.open.set(connection, key);
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
