import type { Instant, Millis } from '../../model';

/** Ratio of the sockets of a host that are kept for connections that the gateway itself opens. */
const OWN_SOCKETS_RATIO = 0.25;
/** Sockets and pipes that a gateway has in any case: listening ones, the store, the log. */
const FIXED_SOCKET_COUNT = 16;
/** Time in milliseconds without progress after which a caller counts as one that doesn't read. */
const STALL_MS: Millis = 1000;

/** Returns how many connections a host may accept, of `opened` that it has opened itself. */
export const maxAcceptedCount = (maxSockets: number, opened: number): number => {
  const reserved = OWN_SOCKETS_RATIO * maxSockets;
  return (1 - OWN_SOCKETS_RATIO) * maxSockets - FIXED_SOCKET_COUNT - Math.max(0, opened - reserved);
};

/** What is known of a connection that was accepted. */
interface Accepted {
  /** Number of requests whose response has not ended. */
  openCount: number;
  /** Number of bytes that its peer had taken when that was last looked at, and when that changed. */
  taken: number;
  progressAt: Instant;
}

/** Reads the state of a connection's responses. */
export interface Progress<Connection> {
  now(): Instant;
  /** Returns the bytes of responses that the peer has taken so far, and those that wait for it. */
  of(connection: Connection): { readonly taken: number; readonly waiting: number };
}

/**
 * The connections that a host has accepted, at all ports. Load pattern: clients open connections
 * and keep them, without a request or with answers that they don't read, until no descriptor is left
 * for others.
 */
export class AcceptedConnections<Connection> {
  /** In the order in which their last requests ended. */
  private readonly all = new Map<Connection, Accepted>();

  constructor(private readonly progress: Progress<Connection>) {}

  get count(): number {
    return this.all.size;
  }

  add(connection: Connection): void {
    this.all.set(connection, { openCount: 0, taken: 0, progressAt: this.progress.now() });
  }

  remove(connection: Connection): void {
    this.all.delete(connection);
  }

  /** Notes that a request begins. */
  begin(connection: Connection): void {
    const accepted = this.all.get(connection);
    if (accepted) accepted.openCount += 1;
  }

  /** Notes that the response to a request has ended. */
  end(connection: Connection): void {
    const accepted = this.all.get(connection);
    if (!accepted) return;
    accepted.openCount -= 1;
    this.all.delete(connection);
    this.all.set(connection, accepted);
  }

  /**
   * Returns the connection to close for a new one: the longest idle one, else one whose peer has
   * taken nothing of an answer for a while. Undefined if all others have requests at work.
   */
  toClose(newest: Connection): Connection | undefined {
    for (const [connection, { openCount }] of this.all)
      if (openCount === 0 && connection !== newest) return connection;
    return this.longestStalled();
  }

  private longestStalled(): Connection | undefined {
    const now = this.progress.now();
    let longest: { readonly connection: Connection; readonly since: Instant } | undefined;
    this.all.forEach((accepted, connection) => {
      const { taken, waiting } = this.progress.of(connection);
      if (waiting === 0 || taken !== accepted.taken)
        Object.assign(accepted, { taken, progressAt: now });
      const { progressAt: since } = accepted;
      if (now - since >= STALL_MS && since < (longest?.since ?? now))
        longest = { connection, since };
    });
    return longest?.connection;
  }
}
