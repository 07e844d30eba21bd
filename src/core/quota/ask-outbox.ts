import { peerKey, type Instant, type Millis } from '../../model';

import type { QuotaPeer, TokenAsk, TokenReturn } from './messages';

/** The parts of one message to a peer. */
export interface OutgoingAsks {
  readonly to: QuotaPeer;
  readonly asks: readonly TokenAsk[];
  readonly returns: readonly TokenReturn[];
}

/** What waits to be sent to one peer. */
interface PeerQueue {
  readonly to: QuotaPeer;
  asks: TokenAsk[];
  returns: TokenReturn[];
  dueAt: Instant;
  sentAt: Instant;
}

/** Least time in milliseconds between two messages to a peer that requests wait for. */
const URGENT_INTERVAL_MS: Millis = 10;
/** Time in milliseconds for which other requests for tokens are gathered. */
const PREFETCH_DELAY_MS: Millis = 20;
/** Time in milliseconds for which returned tokens are gathered. */
const RETURN_DELAY_MS: Millis = 50;
/** Largest size in bytes of the requests in one message; a datagram has 1,200 with its head. */
const MAX_MESSAGE_BYTES = 1000;
/** Upper bounds in bytes of a request without its workspace's name, and of a return. */
const ASK_BYTES = 24;
const RETURN_BYTES = 14;
/** Most bytes of one character of a name. */
const MAX_CHAR_BYTES = 3;
/** Time in milliseconds after which an empty queue is forgotten. */
const QUEUE_RETENTION_MS: Millis = 1000;

const sizeOfAsk = ({ workspace }: TokenAsk): number =>
  ASK_BYTES + MAX_CHAR_BYTES * workspace.length;

/** Splits what waits for a peer into messages that fit into one datagram each. */
const splitQueue = ({ to, asks, returns }: PeerQueue): readonly OutgoingAsks[] => {
  const messages: { to: QuotaPeer; asks: TokenAsk[]; returns: TokenReturn[] }[] = [];
  let left = 0;
  const roomFor = (bytes: number): { asks: TokenAsk[]; returns: TokenReturn[] } => {
    const last = messages.at(-1);
    if (last && left >= bytes) {
      left -= bytes;
      return last;
    }
    const added = { to, asks: [], returns: [] };
    messages.push(added);
    left = MAX_MESSAGE_BYTES - bytes;
    return added;
  };
  asks.forEach((ask) => roomFor(sizeOfAsk(ask)).asks.push(ask));
  returns.forEach((one) => roomFor(RETURN_BYTES).returns.push(one));
  return messages;
};

/**
 * Gathers requests for tokens and returned ones by peer, so that one message has many of them. Load
 * pattern: requests of hundreds of workspaces at one host whose tokens one allocator grants.
 */
export class AskOutbox {
  private readonly queues = new Map<string, PeerQueue>();

  /** Adds a request for tokens; `isUrgent` if a caller waits for it. */
  addAsk(to: QuotaPeer, ask: TokenAsk, isUrgent: boolean, now: Instant): void {
    const queue = this.queueOf(to);
    queue.asks.push(ask);
    const dueAt = isUrgent ? queue.sentAt + URGENT_INTERVAL_MS : now + PREFETCH_DELAY_MS;
    queue.dueAt = Math.min(queue.dueAt, dueAt);
  }

  addReturn(to: QuotaPeer, returned: TokenReturn, now: Instant): void {
    const queue = this.queueOf(to);
    queue.returns.push(returned);
    queue.dueAt = Math.min(queue.dueAt, now + RETURN_DELAY_MS);
  }

  /** Removes and returns the messages that are due. */
  takeDue(now: Instant): readonly OutgoingAsks[] {
    const due = [...this.queues.values()].filter(({ dueAt }) => dueAt <= now);
    const messages = due.flatMap(splitQueue);
    due.forEach((queue) =>
      Object.assign(queue, {
        asks: [],
        returns: [],
        dueAt: Number.POSITIVE_INFINITY,
        sentAt: now,
      } satisfies Partial<PeerQueue>),
    );
    return messages;
  }

  /** Returns when the next message is due; Infinity if nothing waits. */
  get dueAt(): Instant {
    let earliest = Number.POSITIVE_INFINITY;
    this.queues.forEach(({ dueAt }) => {
      earliest = Math.min(earliest, dueAt);
    });
    return earliest;
  }

  /** Forgets the peers that nothing has been sent to for a while. */
  forgetUnused(now: Instant): void {
    this.queues.forEach(({ dueAt, sentAt }, key) => {
      if (dueAt === Number.POSITIVE_INFINITY && sentAt + QUEUE_RETENTION_MS < now) {
        this.queues.delete(key);
      }
    });
  }

  private queueOf(to: QuotaPeer): PeerQueue {
    const key = peerKey({ ...to, callerPort: 0 });
    const known = this.queues.get(key);
    if (known) return known;
    const created: PeerQueue = {
      to,
      asks: [],
      returns: [],
      dueAt: Number.POSITIVE_INFINITY,
      sentAt: Number.NEGATIVE_INFINITY,
    };
    this.queues.set(key, created);
    return created;
  }
}
