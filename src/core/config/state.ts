import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';

import {
  peerKey,
  RECORD_FORMAT,
  type Config,
  type Instant,
  type Millis,
  type NodeAddress,
  type Tip,
} from '../../model';

import { PeerArchive } from './archive';
import { CatchUp, type PartRequest } from './catch-up';
import { CheckpointSchedule } from './checkpoints';
import type { ConfigCount, ConfigEffect, ConfigEvent, StreamBatch } from './event';
import { FreshnessEvidence, type Freshness } from './freshness';
import { Gossip } from './gossip';
import type { ConfigMessage, ConfigPosition } from './message';
import { isLogReader, logReaders, quorumSampleOf, rankOf, type ListedNode } from './quorum-sample';
import { LOG_READ_WAIT_MS, ReadSchedule } from './read-schedule';
import { Replica, type ReplicaStep } from './replica';

/** Options of the configuration state. */
export interface ConfigOptions {
  /** Address of this node. */
  readonly self: NodeAddress;
  /** Time in milliseconds for which the log keeps a record. */
  readonly retention: Millis;
  readonly random: RandomGenerator;
}

/**
 * Keeps a node's configuration up to date from the log and from peers; its version never decreases.
 * Every state is the result of the stream up to some offset, so that nodes with the same version
 * have the same configuration.
 */
export class ConfigState {
  private replica = Replica.start;

  private evidence = FreshnessEvidence.none;

  private reads = ReadSchedule.start;

  private catchUp = CatchUp.idle;

  private checkpoints: CheckpointSchedule;

  /** Nodes listed by the platform. */
  private listed: readonly ListedNode[] = [];

  /** Whether this node is a log reader. */
  private isReader = true;

  private readonly archive: PeerArchive;

  private readonly gossip: Gossip;

  /** Effects of the event that is being handled. */
  private effects: ConfigEffect[] = [];

  constructor(
    private readonly options: ConfigOptions,
    now: Instant,
  ) {
    this.archive = new PeerArchive(options.self);
    this.gossip = new Gossip(options.random, now);
    this.checkpoints = CheckpointSchedule.start(options.retention, now);
  }

  /** The configuration in force. */
  get config(): Config {
    return this.replica.config;
  }

  /** This node's position in the stream. */
  get tip(): Tip {
    return this.replica.tip;
  }

  /** Returns how current the configuration is; `stale` while there is none. */
  freshness(now: Instant): Freshness {
    return this.tip.version > 0 ? this.evidence.at(now) : 'stale';
  }

  /** Handles an event; returns the effects to carry out, in order. */
  apply(event: ConfigEvent, now: Instant): readonly ConfigEffect[] {
    this.effects = [];
    switch (event.kind) {
      case 'tick':
        this.tick(now);
        break;
      case 'members':
        this.setMembers(event.listed);
        break;
      case 'log-batch':
        this.readBatch(event.batch, event.sentAt, now);
        break;
      case 'log-trimmed':
        this.reads = this.reads.answered();
        this.applyStep(this.replica.trimmed(event.first), now);
        break;
      case 'log-failed':
        this.reads = this.reads.failed(now);
        break;
      case 'message':
        this.receive(event.message, now);
        break;
    }
    this.readLog(now);
    return this.effects;
  }

  private tick(now: Instant): void {
    const targets = this.gossip.roundTargets(now, this.evidence.confirmationAge(now));
    targets.forEach((node) => this.sendDigest(node, now));
    const { next, wanted } = this.catchUp.retry(now);
    this.catchUp = next;
    if (wanted) this.requestPart(wanted);
    this.appendCheckpoint(now);
  }

  private setMembers(listed: readonly ListedNode[]): void {
    const { self } = this.options;
    this.listed = listed;
    const sample = quorumSampleOf(self, listed);
    const others = listed.filter((node) => peerKey(node) !== peerKey(self));
    this.gossip.members(others, sample, logReaders(self, listed));
    this.evidence = this.evidence.withSample(sample);
    this.isReader = isLogReader(self, listed);
  }

  private readLog(now: Instant): void {
    if (!this.reads.isDue(this.isReader, this.evidence.confirmationAge(now), now)) return;
    this.reads = this.reads.sent(now);
    this.effects.push({ kind: 'read-log', from: this.replica.readFrom, wait: LOG_READ_WAIT_MS });
  }

  private readBatch(batch: StreamBatch, sentAt: Instant, now: Instant): void {
    const step = this.replica.read(batch);
    const isBehind = step.counts.includes('log-behind');
    this.reads = isBehind ? this.reads.failed(now) : this.reads.answered();
    this.checkpoints = this.checkpoints.read(step.records, now);
    if (step.checkpoint !== undefined) this.learnCheckpoint(step.checkpoint, now);
    this.applyStep(step, now);
    if (step.atEnd) this.evidence = this.evidence.logConfirmed(sentAt);
  }

  private learnCheckpoint(covered: number, seenAt: Instant): void {
    this.checkpoints = this.checkpoints.learn({ covered, seenAt });
  }

  /** Adopts a step of the replica, and announces the configuration if it has changed. */
  private applyStep({ replica, accepted, replaced, counts }: ReplicaStep, now: Instant): void {
    this.replica = replica;
    counts.forEach((what) => this.count(what));
    accepted.forEach((change) => this.archive.add(change));
    if (accepted.length === 0 && !replaced) return;
    this.catchUp = this.catchUp.dropIfReached(this.tip);
    const [only, ...more] = accepted;
    const record = more.length === 0 ? only?.record : undefined;
    this.effects.push({ kind: 'accepted', config: this.config, record });
    this.gossip.randomPeers().forEach((node) => this.sendDigest(node, now));
  }

  private receive(message: ConfigMessage, now: Instant): void {
    switch (message.kind) {
      case 'digest': {
        const { nonce, from } = message;
        this.send(from, { kind: 'answer', nonce, standing: this.standing(now) });
        this.compareWithPeer(message.standing, from, now);
        return;
      }
      case 'answer':
        this.receiveAnswer(message.nonce, message.standing, now);
        return;
      case 'want-changes':
        if (message.tip.version >= this.tip.version) return;
        this.send(message.from, this.archive.changesAfter(message.tip, this.replica.at));
        return;
      case 'changes': {
        this.catchUp = CatchUp.idle;
        const step = this.replica.applyPeerChanges(message.changes);
        step.accepted.forEach(() => this.count('from-peer-changes'));
        this.applyStep(step, now);
        return;
      }
      case 'want-part':
        this.send(message.from, this.archive.part(message.tip, message.part, this.replica.at));
        return;
      case 'part':
        this.receivePart(message, now);
    }
  }

  private receiveAnswer(nonce: number, standing: ConfigPosition, now: Instant): void {
    const ask = this.gossip.matchAnswer(nonce);
    if (!ask) return;
    this.compareWithPeer(standing, ask.node, now);
    if (standing.tip.version > this.tip.version) return;
    this.evidence = this.evidence.peerAgreed(ask.node, ask.askedAt);
    if (standing.wordAge < 0) return;
    this.evidence = this.evidence.logConfirmed(ask.askedAt - standing.wordAge);
  }

  /** Requests changes from a peer with a newer version; at the same version adopts its offset. */
  private compareWithPeer(standing: ConfigPosition, peer: NodeAddress, now: Instant): void {
    const { tip, covered, checkpointAge } = standing;
    this.learnCheckpoint(covered, now - checkpointAge);
    if (tip.version === this.tip.version) {
      this.applyStep(this.replica.adopt({ config: this.config, tip }), now);
      return;
    }
    if (tip.version < this.tip.version || !this.catchUp.mayRequestChanges(now)) return;
    this.catchUp = CatchUp.changesRequested(now);
    this.send(peer, { kind: 'want-changes', from: this.options.self, tip: this.tip });
  }

  private receivePart(message: Extract<ConfigMessage, { kind: 'part' }>, now: Instant): void {
    const before = this.catchUp;
    this.catchUp = before.addPart(message, this.tip, now);
    if (this.catchUp === before) return;
    const found = this.catchUp.result();
    if (found) {
      this.catchUp = CatchUp.idle;
      const step = this.replica.adopt(found);
      if (step.replaced) this.count('from-peer-snapshot');
      this.applyStep(step, now);
      return;
    }
    const wanted = this.catchUp.wanted();
    if (wanted) this.requestPart(wanted);
  }

  private requestPart({ peer, tip, part }: PartRequest): void {
    this.send(peer, { kind: 'want-part', from: this.options.self, tip, part });
  }

  /** Appends a checkpoint if one is due; by rank, usually one node does so for all. */
  private appendCheckpoint(now: Instant): void {
    const isAble = !this.replica.hasGap && this.freshness(now) === 'log';
    this.checkpoints = this.checkpoints.setAble(isAble, now);
    if (!this.checkpoints.isDue(0, now)) return;
    const rank = rankOf(this.options.self, this.listed, this.tip.chain);
    if (!this.checkpoints.isDue(rank, now)) return;
    this.checkpoints = this.checkpoints.appended(now);
    const { tip, config } = this.replica;
    const upstreams = config.inventory.all();
    const { rules } = config;
    const record = { kind: 'checkpoint', format: RECORD_FORMAT, tip, upstreams, rules } as const;
    this.effects.push({ kind: 'append-checkpoint', record });
    this.count('checkpoint-appended');
  }

  /** Returns this node's position, to send to peers. */
  private standing(now: Instant): ConfigPosition {
    const age = this.evidence.confirmationAge(now);
    const { covered, seenAt } = this.checkpoints.known;
    return {
      tip: this.tip,
      wordAge: Number.isFinite(age) ? Math.max(0, Math.ceil(age)) : -1,
      covered,
      checkpointAge: Math.ceil(now - seenAt),
    };
  }

  private sendDigest(node: NodeAddress, now: Instant): void {
    const nonce = this.gossip.recordDigest(node, now);
    const { self } = this.options;
    this.send(node, { kind: 'digest', from: self, nonce, standing: this.standing(now) });
  }

  private send(to: NodeAddress, message: ConfigMessage): void {
    this.effects.push({ kind: 'send', to, message });
  }

  private count(what: ConfigCount): void {
    this.effects.push({ kind: 'count', what });
  }
}
