import { uniformInt } from 'pure-rand/distribution/uniformInt';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';

import { peerKey, type Instant, type Millis, type NodeAddress } from '../../model';

import type { ListedNode } from './quorum-sample';

/** Time in milliseconds between two rounds of digests. */
export const GOSSIP_INTERVAL_MS: Millis = 500;

/** Age of the last log confirmation above which the whole quorum sample is asked. */
export const ASK_QUORUM_AFTER_MS: Millis = 1700;

/** Maximum number of nodes of the quorum sample that one round asks. */
const MAX_ASKED_PER_ROUND_COUNT = 24;
/** Time after which a node that has answered is asked again. */
const ASK_AGAIN_AFTER_MS: Millis = 2800;
/** Time after which a node that has not answered is asked again. */
const UNANSWERED_RETRY_MS: Millis = 1000;
/** Time after which an answer to a digest is ignored. */
const ANSWER_TIMEOUT_MS: Millis = 5000;
const MAX_NONCE = 0x7fffffff;

/** A digest that was sent, to be matched with its answer by nonce. */
export interface SentDigest {
  readonly node: NodeAddress;
  readonly askedAt: Instant;
}

/** Chooses the nodes to send digests to, and matches their answers. */
export class Gossip {
  private others: readonly ListedNode[] = [];

  private quorumSample: readonly ListedNode[] = [];

  private readers: readonly ListedNode[] = [];

  private readonly sentDigests = new Map<number, SentDigest>();

  /** Time of the last digest by peer key. */
  private readonly lastAsked = new Map<string, Instant>();

  /** Time at which the last answered digest was sent, by peer key. */
  private readonly lastAnswered = new Map<string, Instant>();

  private nextRoundAt: Instant;

  private nonce: number;

  constructor(
    private readonly random: RandomGenerator,
    now: Instant,
  ) {
    this.nonce = uniformInt(random, 0, MAX_NONCE);
    this.nextRoundAt = now + uniformInt(random, 0, GOSSIP_INTERVAL_MS);
  }

  /** Replaces the lists of all other nodes, of the quorum sample and of the log readers. */
  members(
    others: readonly ListedNode[],
    quorumSample: readonly ListedNode[],
    readers: readonly ListedNode[],
  ): void {
    this.readers = readers;
    this.others = others;
    this.quorumSample = quorumSample;
    const keys = new Set(others.map(peerKey));
    [this.lastAsked, this.lastAnswered].forEach((instants) =>
      instants.forEach((_, key) => {
        if (!keys.has(key)) instants.delete(key);
      }),
    );
  }

  /** Returns the nodes to send a digest to now; empty between rounds. */
  roundTargets(now: Instant, confirmationAge: Millis): readonly NodeAddress[] {
    if (now < this.nextRoundAt) return [];
    this.nextRoundAt = now + GOSSIP_INTERVAL_MS;
    this.dropExpired(now);
    return confirmationAge > ASK_QUORUM_AFTER_MS ? this.dueQuorumSample(now) : this.randomPeers();
  }

  /** Returns up to two random nodes, the first of them a log reader. */
  randomPeers(): readonly NodeAddress[] {
    const picks = [this.pickFrom(this.readers), this.pickFrom(this.others)];
    return [...new Set(picks)].filter((node) => node !== undefined);
  }

  private pickFrom(nodes: readonly ListedNode[]): NodeAddress | undefined {
    return nodes.length > 0 ? nodes[uniformInt(this.random, 0, nodes.length - 1)] : undefined;
  }

  /** Records that a digest is sent to `node` and returns its nonce. */
  recordDigest(node: NodeAddress, now: Instant): number {
    this.nonce = (this.nonce + 1) % MAX_NONCE;
    this.sentDigests.set(this.nonce, { node, askedAt: now });
    this.lastAsked.set(peerKey(node), now);
    return this.nonce;
  }

  /** Returns the digest that an answer belongs to; undefined if unknown or already answered. */
  matchAnswer(nonce: number): SentDigest | undefined {
    const digest = this.sentDigests.get(nonce);
    this.sentDigests.delete(nonce);
    if (digest) this.lastAnswered.set(peerKey(digest.node), digest.askedAt);
    return digest;
  }

  /** Returns nodes of the quorum sample that are due to be asked, or random nodes if none is. */
  private dueQuorumSample(now: Instant): readonly NodeAddress[] {
    const isPast = (instant: Instant | undefined, wait: Millis): boolean =>
      instant === undefined || now - instant >= wait;
    const due = this.quorumSample.filter((node) => {
      const key = peerKey(node);
      const isAnswerOld = isPast(this.lastAnswered.get(key), ASK_AGAIN_AFTER_MS);
      return isAnswerOld && isPast(this.lastAsked.get(key), UNANSWERED_RETRY_MS);
    });
    return due.length > 0 ? due.slice(0, MAX_ASKED_PER_ROUND_COUNT) : this.randomPeers();
  }

  private dropExpired(now: Instant): void {
    this.sentDigests.forEach((digest, nonce) => {
      if (now - digest.askedAt > ANSWER_TIMEOUT_MS) this.sentDigests.delete(nonce);
    });
  }
}
