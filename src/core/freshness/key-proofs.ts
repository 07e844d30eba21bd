import { eraOf, type FeedPosition, type Instant, type Millis } from '../../model';

/** Age up to which a proof may be relied on, as a ratio of the key revocation time. */
const RELIANCE_RATIO = 0.8;
/**
 * Longest wait of a read that counts up to its end, as a ratio of the key revocation time. A store
 * that answers such a read early to a host that was frozen then makes its proof too young by the
 * wait at most, which the rest of the bound covers.
 */
const FULL_WAIT_RATIO = 0.2;
/** Longest wait in milliseconds of the reads that prove the keys. */
const MAX_WAIT_MS: Millis = 1000;
/** Time in milliseconds by which a read that ended after its full wait is taken to have ended earlier. */
const FULL_WAIT_MARGIN_MS: Millis = 100;

/** Returns the age up to which a proof may be relied on. */
export const relianceOf = (revocationTime: Millis): Millis => RELIANCE_RATIO * revocationTime;

/** Returns the longest wait of the reads that prove the keys. */
export const proofWaitOf = (revocationTime: Millis): Millis =>
  Math.min(MAX_WAIT_MS, FULL_WAIT_RATIO * revocationTime);

/**
 * Proves that a host which has applied the configuration up to `position` has all changes that the
 * store had acknowledged at `at`. Instants are those of a `SuspensionClock`.
 */
export interface KeyProof {
  readonly at: Instant;
  readonly position: FeedPosition;
}

/** A read of the configuration that the store answered with all records that it had. */
export interface CompleteRead {
  readonly startedAt: Instant;
  readonly endedAt: Instant;
  /** Time for which the store was asked to wait for new records. */
  readonly wait: Millis;
  /** The position after the last record that was read. */
  readonly position: FeedPosition;
  readonly isEmpty: boolean;
}

/** Returns what a read proves. A read that waited in vain is proof up to its end, less a margin. */
export const proofOfRead = (read: CompleteRead, revocationTime: Millis): KeyProof => {
  const { startedAt, endedAt, wait, position, isEmpty } = read;
  const hasWaited =
    isEmpty && endedAt - startedAt >= wait && wait <= FULL_WAIT_RATIO * revocationTime;
  const gained = hasWaited ? Math.max(0, wait - FULL_WAIT_MARGIN_MS) : 0;
  return { at: startedAt + gained, position };
};

/** What a peer replies; without `age` it has no proof itself. */
export interface ProofReply {
  readonly position: FeedPosition;
  readonly age?: Millis | undefined;
}

/**
 * Returns what a peer's reply proves to the host that asked at `askedAt`; undefined if nothing. The
 * peer stated the age after that time, so that delays on the way only make the proof older.
 */
export const proofOfReply = (
  { position, age }: ProofReply,
  askedAt: Instant,
): KeyProof | undefined => (age === undefined ? undefined : { at: askedAt - age, position });

/** Whether a host at `applied` has what a proof is about; places of different eras don't compare. */
const isCoveredAt = (applied: FeedPosition, { position }: KeyProof): boolean =>
  applied >= position && eraOf(applied) === eraOf(position);

/**
 * The latest proof of a host's keys. Load pattern: a key is revoked while the host is cut off from
 * the store or from its peers, frozen or suspended. A proof counts once its position is applied.
 */
export class KeyProofs {
  private applied: FeedPosition = -1;

  private current: KeyProof | undefined;

  /** The latest proof whose position has not been applied yet. */
  private pending: KeyProof | undefined;

  /** The latest proof that counts. */
  get latest(): KeyProof | undefined {
    return this.current;
  }

  /** Records a proof; returns whether it counts now. */
  record(proof: KeyProof): boolean {
    if (!isCoveredAt(this.applied, proof)) {
      if (proof.at > (this.pending?.at ?? -Infinity)) this.pending = proof;
      return false;
    }
    if (proof.at > (this.current?.at ?? -Infinity)) this.current = proof;
    return true;
  }

  /** Records that the configuration has been applied up to `position`; returns whether a pending proof counts now. */
  recordApplied(position: FeedPosition): boolean {
    this.applied = Math.max(this.applied, position);
    const { pending } = this;
    if (!pending || !isCoveredAt(this.applied, pending)) return false;
    this.pending = undefined;
    return this.record(pending);
  }

  /** Returns the age of the latest proof that counts; Infinity if there is none. */
  age(at: Instant): Millis {
    return this.current ? at - this.current.at : Infinity;
  }
}
