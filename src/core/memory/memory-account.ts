/**
 * Ratio of the host's memory that buffered bodies may take. A process without load takes about
 * 60 MB, and a body is in memory twice while it is joined or encoded: 60 MB and twice a quarter of
 * the 202 MB of the smallest hosts leave a fifth of these to the heap.
 */
const BUFFER_MEMORY_RATIO = 0.25;
/** Limit in bytes where the host's memory is not known. */
const DEFAULT_BUFFER_LIMIT_BYTES = 48 * 2 ** 20;
/** Ratio of the limit that large bodies may take; the rest is for small ones and for answers. */
const LARGE_BODIES_RATIO = 0.8;
/** Ratio of the limit that requests may take; the rest is for the answers of those that run. */
const REQUESTS_RATIO = 0.9;
/** Ratio of the limit from which a peer holds much, however many others there are. */
const MUCH_RATIO = 0.1;
/** Multiple of its share from which a caller gives way to one that holds no more than its own. */
const CALLER_EXCESS = 4;

/** Returns the limit of the buffered bytes of a host that is killed at `memoryBytes`. */
export const bufferLimitOf = (memoryBytes: number): number =>
  Number.isFinite(memoryBytes) ? BUFFER_MEMORY_RATIO * memoryBytes : DEFAULT_BUFFER_LIMIT_BYTES;

/** Whom a host keeps bytes for: one connection of a caller, or one of the others by its id. */
export interface Peer {
  readonly kind: 'caller' | 'upstream' | 'gateway' | 'store';
  readonly id: string;
}

const keyOf = ({ kind, id }: Peer): string => `${kind} ${id}`;

/** What is held for one peer, by holder. */
interface PeerBytes {
  readonly byHolder: Map<object, number>;
  sum: number;
}

/**
 * Counts the bytes that a host keeps for each peer, in holders such as an answer that is being
 * collected. Load patterns: callers send bodies slowly or don't read their answers; upstreams send
 * answers without end, or stop in the middle.
 */
export class MemoryAccount<Holder extends { readonly peer: Peer }> {
  /** Peers by kind and id, in the order in which they came to hold something. */
  private readonly peers = new Map<string, PeerBytes>();

  private sum = 0;

  constructor(private readonly limit: () => number) {}

  /** Total number of bytes held. */
  get total(): number {
    return this.sum;
  }

  /** Whether a large body of this size, or else a small request, can be held beside what is held. */
  hasRoomFor(bytes: number, isSmall = false): boolean {
    return this.sum + bytes < (isSmall ? REQUESTS_RATIO : LARGE_BODIES_RATIO) * this.limit();
  }

  get isOverLimit(): boolean {
    return this.sum > this.limit();
  }

  /** Bytes of one holder. */
  bytesOf(holder: Holder): number {
    return this.peerOf(holder)?.byHolder.get(holder) ?? 0;
  }

  /** Bytes held for all peers of a kind. */
  bytesOfKind(kind: Peer['kind']): number {
    let sum = 0;
    this.peers.forEach((peer, key) => {
      if (key.startsWith(`${kind} `)) sum += peer.sum;
    });
    return sum;
  }

  /** Whether the peer of a holder would hold no more than its share, which all peers have alike. */
  isWithinShare({ peer }: Holder, more: number): boolean {
    return (this.peers.get(keyOf(peer))?.sum ?? 0) + more <= this.share;
  }

  /** Whether so much is held for the peer of a holder that it is the cause when memory is short. */
  holdsMuch({ peer }: Holder): boolean {
    return (
      (this.peers.get(keyOf(peer))?.sum ?? 0) > Math.max(this.share, MUCH_RATIO * this.limit())
    );
  }

  /**
   * Returns the holder to give way to a small request of a peer that holds little; undefined if none
   * holds so much more that the request is not to be refused. Load pattern: a crowd of callers that
   * each hold as much as the next; none of those whose requests run gives way to a new one.
   */
  holderInTheWay(): Holder | undefined {
    const largest = this.largestHolder();
    if (largest && this.holdsMuch(largest)) return largest;
    const excess = CALLER_EXCESS * this.share;
    return this.largestHolder((key, sum) => key.startsWith('caller ') && sum > excess);
  }

  /** Counts `bytes` for a holder, in place of what it held. */
  resize(holder: Holder, bytes: number): void {
    const key = keyOf(holder.peer);
    const peer = this.peers.get(key) ?? { byHolder: new Map<object, number>(), sum: 0 };
    const more = bytes - (peer.byHolder.get(holder) ?? 0);
    if (bytes > 0) peer.byHolder.set(holder, bytes);
    else peer.byHolder.delete(holder);
    peer.sum += more;
    this.sum += more;
    if (peer.byHolder.size > 0) this.peers.set(key, peer);
    else this.peers.delete(key);
  }

  /**
   * Returns the holder to give way when memory is short: the largest one of the peer that holds
   * most, the oldest of several. The newest peer is spared, as it had no chance yet, unless it is the
   * only one.
   */
  largestHolder(
    isCandidate: (key: string, sum: number) => boolean = () => true,
  ): Holder | undefined {
    const peers = [...this.peers]
      .filter(([key, { sum }]) => isCandidate(key, sum))
      .map(([, peer]) => peer);
    const candidates = peers.length > 1 ? peers.slice(0, -1) : peers;
    const largest = candidates.reduce<PeerBytes | undefined>(
      (most, peer) => (peer.sum > (most?.sum ?? 0) ? peer : most),
      undefined,
    );
    let found: Holder | undefined;
    let most = 0;
    largest?.byHolder.forEach((bytes, holder) => {
      if (bytes <= most) return;
      found = holder as Holder;
      most = bytes;
    });
    return found;
  }

  private get share(): number {
    return this.limit() / Math.max(1, this.peers.size);
  }

  private peerOf({ peer }: Holder): PeerBytes | undefined {
    return this.peers.get(keyOf(peer));
  }
}
