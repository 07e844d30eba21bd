/** The way of a call from the node that took it to the node that dispatches it. */
import type { Readable } from 'node:stream';

import { ShardLoads, nextHop, RetryBudget, type Directory, type Shard } from '../core';
import { notRunOutcome, type Call, type Member, type NodeIdentity } from '../model';
import type { Clock, Handler, Payload, PeerLink, Reply, Telemetry } from '../ports';

import { readUpTo, toStream } from './body';
import { isRest, rangeHeaders, resumable, validatorOf, type Validator } from './download';
import { LONG_ANSWER_BYTES } from './upstream-pool';

const REPLAYABLE_BYTES = 1024 * 1024;
const NODES_PER_SHARD = 3;
const MOST_SENDS = 4;
const NO_OWNER_RETRY_AFTER_MS = 1000;

/** Second sends for each call, where the first was lost or refused. */
const RESEND_RATIO = 0.1;

/** What the dispatcher works with. */
export interface DispatcherContext {
  readonly self: NodeIdentity;
  readonly directory: Directory;
  readonly peers: PeerLink;
  readonly clock: Clock;
  readonly telemetry: Telemetry;
  /** The owner's part of this node. */
  readonly owner: Handler;
  /** A number from 0 up to 1. */
  random(): number;
}

type Answer = Extract<Reply, { kind: 'answer' }>;

const EMPTY: Payload = { kind: 'whole', bytes: Buffer.alloc(0) };

interface Hop {
  readonly shard: Shard;
  readonly node: Member;
}

const utilizationOf = ({ load }: Reply): number | undefined =>
  load && load.slots > 0 ? (load.inFlight + load.queued) / load.slots : undefined;

const refuseUnowned = (shards: readonly Shard[]): Reply => {
  const reason = shards.length === 0 ? 'no-upstream' : 'no-owner';
  return { kind: 'refused', outcome: notRunOutcome(reason, NO_OWNER_RETRY_AFTER_MS) };
};

/** Sends calls to shards' owners, and past owners that don't answer. */
export class Dispatcher {
  private readonly loads = new ShardLoads();

  private readonly budget = new RetryBudget(RESEND_RATIO);

  constructor(private readonly context: DispatcherContext) {}

  /** Serves a call from some shard of its service. */
  readonly serve: Handler = async (call, body, signal) => {
    const shards = this.rankedShards(call);
    const hops = shards.flatMap((shard) => this.hopsOf(shard));
    if (hops.length === 0) return refuseUnowned(shards);
    const payload = await readUpTo(body, REPLAYABLE_BYTES).catch(() => undefined);
    if (!payload) return { kind: 'refused', outcome: notRunOutcome('cancelled') };
    this.budget.earn();
    const reply = await this.send(call, payload, hops, signal);
    return reply.kind === 'answer' ? this.goingOn(call, reply, signal) : reply;
  };

  /** A long answer made to go on from elsewhere where it breaks off, if that is safe. */
  private goingOn(call: Call, reply: Answer, signal: AbortSignal): Reply {
    if (call.method !== 'GET' || !call.idempotent) return reply;
    const validator = validatorOf(reply.status, reply.headers);
    if (!validator || validator.length <= LONG_ANSWER_BYTES) return reply;
    const restFrom = (offset: number): Promise<Readable | undefined> =>
      this.fetchRest(call, validator, offset, signal);
    return { ...reply, body: resumable(reply.body, validator, restFrom) };
  }

  private async fetchRest(
    call: Call,
    validator: Validator,
    offset: number,
    signal: AbortSignal,
  ): Promise<Readable | undefined> {
    if (signal.aborted || !this.budget.take()) return undefined;
    this.context.telemetry.count('retry', { reason: 'resume' });
    const rest: Call = { ...call, headers: rangeHeaders(call.headers, validator, offset) };
    const hops = this.rankedShards(call).flatMap((shard) => this.hopsOf(shard));
    const reply = await this.send(rest, EMPTY, hops, signal);
    if (reply.kind === 'refused') return undefined;
    if (isRest(reply.status, reply.headers, validator, offset)) return reply.body;
    reply.body.destroy();
    return undefined;
  }

  private async send(
    call: Call,
    payload: Payload,
    hops: readonly Hop[],
    signal: AbortSignal,
  ): Promise<Reply> {
    let rest = hops;
    for (let sends = 1; ; sends++) {
      const [hop] = rest;
      if (!hop)
        return { kind: 'refused', outcome: notRunOutcome('no-owner', NO_OWNER_RETRY_AFTER_MS) };
      const reply = await this.sendTo(hop, call, toStream(payload), signal);
      if (reply.kind === 'answer') return reply;
      const repeatable = payload.kind === 'whole' && sends < MOST_SENDS && !signal.aborted;
      const next = repeatable ? this.after(call, reply, hop, rest.slice(1)) : [];
      if (next.length === 0) return reply;
      this.context.telemetry.count('resend', { reason: reply.outcome.reason });
      rest = next;
    }
  }

  /** The hops still open after a refusal; none when it is final. */
  private after(
    call: Call,
    reply: Extract<Reply, { kind: 'refused' }>,
    hop: Hop,
    rest: readonly Hop[],
  ): readonly Hop[] {
    const others = rest.filter(({ shard }) => shard.id !== hop.shard.id);
    const next = nextHop(call.idempotent, reply.outcome, reply.unsent === true);
    switch (next.kind) {
      case 'standby':
        return rest;
      case 'standby-by-budget':
        return rest.length > 0 && this.budget.take() ? rest : [];
      case 'other-shard-by-budget':
        return others.length > 0 && this.budget.take() ? others : [];
      case 'none':
        return [];
    }
  }

  private async sendTo(
    { shard, node }: Hop,
    call: Call,
    body: Readable,
    signal: AbortSignal,
  ): Promise<Reply> {
    const { self, peers, owner, clock, telemetry } = this.context;
    const sharded: Call = { ...call, shard: shard.id };
    const isLocal = node.incarnation === self.incarnation;
    telemetry.count('hop', { to: isLocal ? 'self' : 'peer' });
    const reply = isLocal
      ? await owner(sharded, body, signal)
      : await peers.call(node, 'owner', sharded, body, signal);
    const utilization = utilizationOf(reply);
    if (utilization !== undefined) this.loads.record(shard.id, utilization, clock.now());
    return reply;
  }

  /** The service's shards, the lighter of two drawn at random first. */
  private rankedShards({ service }: Call): readonly Shard[] {
    const { directory, clock } = this.context;
    const shards = directory.shardsOf(service);
    const [first, second] = [this.draw(shards), this.draw(shards)];
    if (!first || !second) return shards;
    const chosen = this.loads.lessLoaded(first, second, clock.now());
    return [chosen, ...shards.filter(({ id }) => id !== chosen.id)];
  }

  private draw(shards: readonly Shard[]): Shard | undefined {
    return shards[Math.floor(this.context.random() * shards.length)];
  }

  private hopsOf(shard: Shard): readonly Hop[] {
    const owners = this.context.directory.ownersOf(shard.id);
    return owners.slice(0, NODES_PER_SHARD).map((node) => ({ shard, node }));
  }
}
