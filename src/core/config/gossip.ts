import { uniformInt } from 'pure-rand/distribution/uniformInt';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';

import { peerKey, type Instant, type Millis, type NodeAddress } from '../../model';

import type { ListedNode } from './quorum-sample';

/** Time between two rounds of digests. */
export const GOSSIP_EVERY: Millis = 500;

/** The age of the log's word from which the whole panel is asked. */
export const ASK_QUORUM_AFTER_MS: Millis = 1700;

const QUORUM_ROUND_MS = 24;
const ASK_AGAIN_AFTER: Millis = 2800;
const RETRY_AFTER: Millis = 1000;
const ANSWER_WITHIN: Millis = 5000;
const MAX_NONCE = 0x7fffffff;

/** A digest sent, to be matched with its answer. */
export interface Ask {
  readonly node: NodeAddress;
  readonly askedAt: Instant;
}

/** Whom to send digests to, and which answers belong to them. */
export class Gossip {
  private others: readonly ListedNode[] = [];

  private quorumSample: readonly ListedNode[] = [];

  private readers: readonly ListedNode[] = [];

  private readonly asks = new Map<number, Ask>();

  private readonly lastAsked = new Map<string, Instant>();

  /** When nodes that have answered had been asked. */
  private readonly lastAnswered = new Map<string, Instant>();

  private nextRoundAt: Instant;

  private nonce: number;

  constructor(
    private readonly random: RandomGenerator,
    now: Instant,
  ) {
    this.nonce = uniformInt(random, 0, MAX_NONCE);
    this.nextRoundAt = now + uniformInt(random, 0, GOSSIP_EVERY);
  }

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

  /** The nodes to send a digest to now; empty between rounds. */
  round(now: Instant, wordAge: Millis): readonly NodeAddress[] {
    if (now < this.nextRoundAt) return [];
    this.nextRoundAt = now + GOSSIP_EVERY;
    this.forgetOld(now);
    return wordAge > ASK_QUORUM_AFTER_MS ? this.dueQuorumSample(now) : this.some();
  }

  /** A few nodes drawn at random, one of them a reader of the log. */
  some(): readonly NodeAddress[] {
    const picks = [this.drawOf(this.readers), this.drawOf(this.others)];
    return [...new Set(picks)].filter((node) => node !== undefined);
  }

  private drawOf(nodes: readonly ListedNode[]): NodeAddress | undefined {
    return nodes.length > 0 ? nodes[uniformInt(this.random, 0, nodes.length - 1)] : undefined;
  }

  /** Notes that a digest leaves for `node`, and returns its nonce. */
  ask(node: NodeAddress, now: Instant): number {
    this.nonce = (this.nonce + 1) % MAX_NONCE;
    this.asks.set(this.nonce, { node, askedAt: now });
    this.lastAsked.set(peerKey(node), now);
    return this.nonce;
  }

  /** The digest that an answer belongs to; each is matched once. */
  answered(nonce: number): Ask | undefined {
    const ask = this.asks.get(nonce);
    this.asks.delete(nonce);
    if (ask) this.lastAnswered.set(peerKey(ask.node), ask.askedAt);
    return ask;
  }

  private dueQuorumSample(now: Instant): readonly NodeAddress[] {
    const isPast = (instant: Instant | undefined, wait: Millis): boolean =>
      instant === undefined || now - instant >= wait;
    const due = this.quorumSample.filter((node) => {
      const key = peerKey(node);
      const isAnswerOld = isPast(this.lastAnswered.get(key), ASK_AGAIN_AFTER);
      return isAnswerOld && isPast(this.lastAsked.get(key), RETRY_AFTER);
    });
    return due.length > 0 ? due.slice(0, QUORUM_ROUND_MS) : this.some();
  }

  private forgetOld(now: Instant): void {
    this.asks.forEach((ask, nonce) => {
      if (now - ask.askedAt > ANSWER_WITHIN) this.asks.delete(nonce);
    });
  }
}
