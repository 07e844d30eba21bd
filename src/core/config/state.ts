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

import { Archive } from './archive';
import { CatchUp, type PartWanted } from './catch-up';
import { CheckpointSchedule } from './checkpoints';
import type { ConfigCount, ConfigEffect, ConfigEvent, StreamBatch } from './event';
import { FreshnessEvidence, type Freshness } from './freshness';
import { Gossip } from './gossip';
import type { ConfigMessage, ConfigPosition } from './message';
import { isLogReader, logReaders, quorumSampleOf, rankOf, type ListedNode } from './quorum-sample';
import { LOG_READ_WAIT_MS, ReadSchedule } from './read-schedule';
import { Replica, type Step } from './replica';

/** What a node's configuration needs to know at its start. */
export interface ConfigOptions {
  readonly self: NodeAddress;
  /** How long the log keeps a record. */
  readonly retention: Millis;
  readonly random: RandomGenerator;
}

/**
 * A node's configuration: follows the log and the peers, and never steps back. Every state that it
 * takes on results from the stream up to some offset, so that two nodes with one version agree.
 */
export class ConfigState {
  private replica = Replica.start;

  private evidence = FreshnessEvidence.none;

  private reads = ReadSchedule.start;

  private catchUp = CatchUp.idle;

  private checkpoints: CheckpointSchedule;

  private listed: readonly ListedNode[] = [];

  private isReader = true;

  private readonly archive: Archive;

  private readonly gossip: Gossip;

  private effects: ConfigEffect[] = [];

  constructor(
    private readonly options: ConfigOptions,
    now: Instant,
  ) {
    this.archive = new Archive(options.self);
    this.gossip = new Gossip(options.random, now);
    this.checkpoints = CheckpointSchedule.start(options.retention, now);
  }

  /** The configuration in force. */
  get config(): Config {
    return this.replica.config;
  }

  /** Where this node stands in the stream. */
  get tip(): Tip {
    return this.replica.tip;
  }

  /** Whether this node may take work; a node without a configuration never may. */
  freshness(now: Instant): Freshness {
    return this.tip.version > 0 ? this.evidence.at(now) : 'stale';
  }

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
        this.take(this.replica.trimmed(event.first), now);
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
    const targets = this.gossip.round(now, this.evidence.confirmationAge(now));
    targets.forEach((node) => this.sendDigest(node, now));
    const { next, wanted } = this.catchUp.retry(now);
    this.catchUp = next;
    if (wanted) this.askPart(wanted);
    this.appendCheckpoint(now);
  }

  private setMembers(listed: readonly ListedNode[]): void {
    const { self } = this.options;
    this.listed = listed;
    const sample = quorumSampleOf(self, listed);
    const others = listed.filter((node) => peerKey(node) !== peerKey(self));
    this.gossip.members(others, sample, logReaders(self, listed));
    this.evidence = this.evidence.among(sample);
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
    this.take(step, now);
    if (step.atEnd) this.evidence = this.evidence.logConfirmed(sentAt);
  }

  private learnCheckpoint(covered: number, seenAt: Instant): void {
    this.checkpoints = this.checkpoints.learn({ covered, seenAt });
  }

  /** Takes a step of the replica and tells of what has come into force. */
  private take({ replica, accepted, replaced, counts }: Step, now: Instant): void {
    this.replica = replica;
    counts.forEach((what) => this.count(what));
    accepted.forEach((change) => this.archive.add(change));
    if (accepted.length === 0 && !replaced) return;
    this.catchUp = this.catchUp.reached(this.tip);
    const [only, ...more] = accepted;
    const record = more.length === 0 ? only?.record : undefined;
    this.effects.push({ kind: 'accepted', config: this.config, record });
    this.gossip.some().forEach((node) => this.sendDigest(node, now));
  }

  private receive(message: ConfigMessage, now: Instant): void {
    switch (message.kind) {
      case 'digest': {
        const { nonce, from } = message;
        this.send(from, { kind: 'answer', nonce, standing: this.standing(now) });
        this.compare(message.standing, from, now);
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
        const step = this.replica.follow(message.changes);
        step.accepted.forEach(() => this.count('from-peer-changes'));
        this.take(step, now);
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
    const ask = this.gossip.answered(nonce);
    if (!ask) return;
    this.compare(standing, ask.node, now);
    if (standing.tip.version > this.tip.version) return;
    this.evidence = this.evidence.supported(ask.node, ask.askedAt);
    if (standing.wordAge < 0) return;
    this.evidence = this.evidence.logConfirmed(ask.askedAt - standing.wordAge);
  }

  /** Asks a peer that is ahead for what it has; takes over its place where it has no more. */
  private compare(standing: ConfigPosition, peer: NodeAddress, now: Instant): void {
    const { tip, covered, checkpointAge } = standing;
    this.learnCheckpoint(covered, now - checkpointAge);
    if (tip.version === this.tip.version) {
      this.take(this.replica.adopt({ config: this.config, tip }), now);
      return;
    }
    if (tip.version < this.tip.version || !this.catchUp.mayAsk(now)) return;
    this.catchUp = CatchUp.asked(now);
    this.send(peer, { kind: 'want-changes', from: this.options.self, tip: this.tip });
  }

  private receivePart(message: Extract<ConfigMessage, { kind: 'part' }>, now: Instant): void {
    const before = this.catchUp;
    this.catchUp = before.received(message, this.tip, now);
    if (this.catchUp === before) return;
    const found = this.catchUp.result();
    if (found) {
      this.catchUp = CatchUp.idle;
      const step = this.replica.adopt(found);
      if (step.replaced) this.count('from-peer-snapshot');
      this.take(step, now);
      return;
    }
    const wanted = this.catchUp.wanted();
    if (wanted) this.askPart(wanted);
  }

  private askPart({ peer, tip, part }: PartWanted): void {
    this.send(peer, { kind: 'want-part', from: this.options.self, tip, part });
  }

  /** One node appends the whole configuration well before the log trims the last one. */
  private appendCheckpoint(now: Instant): void {
    const isAble = !this.replica.hasGap && this.freshness(now) === 'log';
    this.checkpoints = this.checkpoints.able(isAble, now);
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
    const nonce = this.gossip.ask(node, now);
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
