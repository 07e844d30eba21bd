import type { Incarnation, Instant, Millis } from '../../model';

import { proofWaitOf, relianceOf } from './key-proofs';

/** Time in milliseconds for which a request waits for a proof. */
const ROUND_MS: Millis = 80;
/** Times in milliseconds from the start of a round at which peers are asked, as datagrams are lost. */
const ROUND_STEPS_MS: readonly Millis[] = [0, 20, 40];
/** Number of peers that are asked at each step of a round. */
const PEERS_PER_STEP_COUNT = 2;
/** The step at which a host that gets its feeds from a reader reads at the store itself. */
const STORE_STEP = 2;
/** Time in milliseconds between rounds for unknown keys, and between questions in the background. */
const ASK_INTERVAL_MS: Millis = 250;
/**
 * Time in milliseconds from the end of a round without a proof until the next one; a host must serve
 * again a second after the store does.
 */
const FAILED_ROUND_INTERVAL_MS: Millis = 400;
/** Time in milliseconds after a round without a proof in which requests don't wait for another one. */
const REFUSING_MS: Millis = 600;
/**
 * Time in milliseconds between reads at the store for new keys and in the background, and after one
 * that has brought no proof.
 */
const STORE_READ_INTERVAL_MS: Millis = 1000;
/** Age in milliseconds of a proof from which a key that is not known may be new. */
const NEW_KEY_AGE_MS: Millis = 300;
/** Time in milliseconds without a reply from which a peer is taken to be silent, and for how long. */
const REPLY_TIMEOUT_MS: Millis = 200;
const SILENCE_MS: Millis = 5000;
/**
 * Age from which a host that reads at the store asks a peer in the background, and any host reads
 * at the store, as a ratio of the key revocation time.
 */
const READER_REFRESH_RATIO = 0.3;
const STORE_REFRESH_RATIO = 0.5;

/** What a host with a proof of a given age is to do, and by which bound. */
export interface ProofState {
  readonly at: Instant;
  readonly age: Millis;
  readonly revocationTime: Millis;
  /** Whether this host reads the configuration at the store, and not from a reader. */
  readonly readsAtStore: boolean;
}

/** Whom to ask now. */
export interface InquiryStep {
  /** Number of peers to ask, and the rank of the first one. */
  readonly peers: number;
  readonly firstRank: number;
  readonly readStore: boolean;
}

/** What becomes of a request with a known key. */
export type KeyDecision =
  | { readonly kind: 'serve'; readonly refresh: InquiryStep | undefined }
  | { readonly kind: 'wait'; readonly beginRound: boolean }
  | { readonly kind: 'refuse'; readonly beginRound: boolean };

interface Question {
  readonly peer: Incarnation;
  readonly askedAt: Instant;
}

interface Round {
  readonly startedAt: Instant;
  readonly endsAt: Instant;
  readonly readsAtStore: boolean;
  /** Whether it takes the place of one in which this host did not run all the time. */
  readonly isRepeated: boolean;
  nextStep: number;
  hasReply: boolean;
}

/**
 * When a host asks whom for a proof of its keys. Load patterns: a first request after a long time;
 * requests without end while nobody has a proof; a flood of unknown keys; peers of builds that don't
 * reply. Each causes a bounded number of questions.
 */
export class Inquiry {
  /** Questions by nonce that a peer has not replied to. */
  private readonly questions = new Map<number, Question>();

  private readonly silentUntil = new Map<Incarnation, Instant>();

  private round: Round | undefined;

  private nextSeekAt: Instant = -Infinity;

  /** When the last round ended without a proof that may be relied on; -Infinity since there is one. */
  private failedAt: Instant = -Infinity;

  private askedAt: Instant = -Infinity;

  /** When the last question with a reply was asked. */
  private answeredAskedAt: Instant = -Infinity;

  private storeReadAt: Instant = -Infinity;

  /** Whether the last read at the store that was asked for has brought a proof. */
  private hasStoreAnswered = false;

  get isRoundOpen(): boolean {
    return this.round !== undefined;
  }

  /** Whether nobody could give this host a proof when it last asked. */
  get hasFailed(): boolean {
    return this.failedAt > -Infinity;
  }

  isSilent(peer: Incarnation, at: Instant): boolean {
    return (this.silentUntil.get(peer) ?? -Infinity) > at;
  }

  /** Decides on a request with a known key. */
  decide(state: ProofState): KeyDecision {
    const { at, age, revocationTime } = state;
    if (age < relianceOf(revocationTime)) {
      this.failedAt = -Infinity;
      return { kind: 'serve', refresh: this.refreshOf(state) };
    }
    const beginRound = !this.round && at >= this.failedAt + FAILED_ROUND_INTERVAL_MS;
    const mayWait = beginRound || this.round !== undefined;
    if (!mayWait || at < this.failedAt + REFUSING_MS) return { kind: 'refuse', beginRound };
    return { kind: 'wait', beginRound };
  }

  /** Whether an unknown key should be looked for with a new round. */
  shouldSeekNewKey({ at, age }: ProofState): boolean {
    return age >= NEW_KEY_AGE_MS && !this.round && at >= this.nextSeekAt;
  }

  beginRound({ at, readsAtStore }: ProofState, isRepeated = false): void {
    this.round = {
      startedAt: at,
      endsAt: at + ROUND_MS,
      readsAtStore,
      isRepeated,
      nextStep: 0,
      hasReply: false,
    };
    this.nextSeekAt = at + ASK_INTERVAL_MS;
  }

  /** Returns what the round in progress asks now; undefined if nothing. */
  nextStep(state: ProofState): InquiryStep | undefined {
    const { round } = this;
    const { at } = state;
    const offset = round ? ROUND_STEPS_MS[round.nextStep] : undefined;
    if (!round || offset === undefined || at < round.startedAt + offset) return undefined;
    const step = round.nextStep;
    round.nextStep += 1;
    // A peer that has replied without a proof has it from where the others have theirs.
    const peers = round.hasReply ? 0 : PEERS_PER_STEP_COUNT;
    const wantsStore = step === (round.readsAtStore ? 0 : STORE_STEP);
    return {
      peers,
      firstRank: step * PEERS_PER_STEP_COUNT,
      readStore: wantsStore && this.takeStoreRead(state),
    };
  }

  /** Ends the round in progress if its time is over; returns whether none is in progress now. */
  endRoundIfDue(state: ProofState): boolean {
    const { at, age, revocationTime } = state;
    const { round } = this;
    if (!round || at < round.endsAt) return round === undefined;
    this.endRound();
    if (age < relianceOf(revocationTime)) return true;
    // Questions from before a stop of this process, or before its clock was set, prove little.
    if (at >= round.endsAt + ROUND_MS && !round.isRepeated) {
      this.beginRound(state, true);
      return false;
    }
    this.failedAt = at;
    this.nextSeekAt = at + FAILED_ROUND_INTERVAL_MS;
    return true;
  }

  /** Ends the round in progress, as it has brought a proof. */
  endRound(): void {
    this.round = undefined;
  }

  /** Records that a read at the store has brought a proof. */
  recordStoreProof(): void {
    this.hasStoreAnswered = true;
  }

  recordQuestion(nonce: number, peer: Incarnation, askedAt: Instant): void {
    this.askedAt = askedAt;
    this.questions.set(nonce, { peer, askedAt });
  }

  /** Takes in a reply; returns when its question was asked, undefined if it has none. */
  recordReply(nonce: number): Instant | undefined {
    const question = this.questions.get(nonce);
    if (!question) return undefined;
    this.questions.delete(nonce);
    this.silentUntil.delete(question.peer);
    this.answeredAskedAt = Math.max(this.answeredAskedAt, question.askedAt);
    if (this.round) this.round.hasReply = true;
    return question.askedAt;
  }

  /** Notes the peers that have not replied in time, and drops questions too old to prove anything. */
  expire(at: Instant, revocationTime: Millis): void {
    this.questions.forEach(({ peer, askedAt }, nonce) => {
      if (at - askedAt >= REPLY_TIMEOUT_MS && askedAt + SILENCE_MS > at) {
        this.silentUntil.set(peer, askedAt + SILENCE_MS);
      }
      if (at - askedAt >= relianceOf(revocationTime)) this.questions.delete(nonce);
    });
    this.silentUntil.forEach((until, peer) => {
      if (until <= at) this.silentUntil.delete(peer);
    });
  }

  /** Returns what to ask in the background while requests with keys arrive; undefined if nothing. */
  private refreshOf(state: ProofState): InquiryStep | undefined {
    const { at, age, revocationTime, readsAtStore } = state;
    const interval = proofWaitOf(revocationTime);
    const refreshAge = readsAtStore ? READER_REFRESH_RATIO * revocationTime : interval;
    if (age < refreshAge || this.round) return undefined;
    const mayAsk = at >= this.askedAt + ASK_INTERVAL_MS && at >= this.answeredAskedAt + interval;
    if (!mayAsk) return undefined;
    const readStore = age >= STORE_REFRESH_RATIO * revocationTime && this.takeStoreRead(state);
    return { peers: 1, firstRank: 0, readStore };
  }

  /** Takes one of the reads at the store, which are expensive; returns whether there is one. */
  private takeStoreRead({ at, age, revocationTime }: ProofState): boolean {
    const isNeeded = age >= relianceOf(revocationTime) && this.hasStoreAnswered;
    if (!isNeeded && at < this.storeReadAt + STORE_READ_INTERVAL_MS) return false;
    this.storeReadAt = at;
    this.hasStoreAnswered = false;
    return true;
  }
}
