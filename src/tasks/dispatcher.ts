/** Forwarding of calls from the node that accepted them to the owners of shards. */
import type { Readable } from 'node:stream';

import { ShardLoads, nextHop, RetryBudget, type Directory, type Shard } from '../core';
import { notRunOutcome, type Call, type Member, type NodeIdentity } from '../model';
import type { Clock, Handler, Payload, PeerLink, Reply, Telemetry } from '../ports';

import { readUpTo, toStream } from './body';
import { isRemainder, rangeHeaders, resumable, validatorOf, type Validator } from './download';
import { LONG_ANSWER_BYTES } from './upstream-pool';

/** Size in bytes up to which a request body is kept so that it can be sent again. */
const MAX_REPLAYABLE_BYTES = 1024 * 1024;
/** Highest number of a shard's owners that a call is sent to. */
const MAX_OWNERS_PER_SHARD = 3;
/** Highest number of times that a call is sent, the first one included. */
const MAX_SEND_COUNT = 4;
const NO_OWNER_RETRY_AFTER_MS = 1000;

/** Ratio of repeated sends, after a first one was lost or refused, to calls. */
const RESEND_RATIO = 0.1;

/** Holds the parts of the node that the dispatcher uses. */
export interface DispatcherContext {
  readonly self: NodeIdentity;
  readonly directory: Directory;
  readonly peers: PeerLink;
  readonly clock: Clock;
  readonly telemetry: Telemetry;
  /** Serves calls of shards that this node owns. */
  readonly owner: Handler;
  /** Returns a random number of at least 0 and less than 1. */
  random(): number;
}

type Answer = Extract<Reply, { kind: 'answer' }>;

const EMPTY_PAYLOAD: Payload = { kind: 'whole', bytes: Buffer.alloc(0) };

/** Names a node to which a call can be sent, and the shard that it is to serve the call from. */
interface Hop {
  readonly shard: Shard;
  readonly node: Member;
}

/** Returns calls in flight and queued for each slot; undefined when the reply carries no load. */
const utilizationOf = ({ load }: Reply): number | undefined =>
  load && load.slots > 0 ? (load.inFlight + load.queued) / load.slots : undefined;

/** Returns the refusal of a call whose service has no shards, or no owner for them. */
const refuseUnowned = (shards: readonly Shard[]): Reply => {
  const reason = shards.length === 0 ? 'no-upstream' : 'no-owner';
  return { kind: 'refused', outcome: notRunOutcome(reason, NO_OWNER_RETRY_AFTER_MS) };
};

/** Sends calls to the owners of shards, and to other owners where one does not answer. */
export class Dispatcher {
  private readonly loads = new ShardLoads();

  /** Budget for sending a call again that may have run, to another shard, or for a remainder. */
  private readonly budget = new RetryBudget(RESEND_RATIO);

  constructor(private readonly context: DispatcherContext) {}

  /** Serves a call through one of its service's shards. */
  readonly serve: Handler = async (call, body, signal) => {
    const shards = this.rankedShards(call);
    const hops = shards.flatMap((shard) => this.hopsOf(shard));
    if (hops.length === 0) return refuseUnowned(shards);
    const payload = await readUpTo(body, MAX_REPLAYABLE_BYTES).catch(() => undefined);
    if (!payload) return { kind: 'refused', outcome: notRunOutcome('cancelled') };
    this.budget.earn();
    const reply = await this.send(call, payload, hops, signal);
    return reply.kind === 'answer' ? this.withResumption(call, reply, signal) : reply;
  };

  /**
   * Returns a reply whose body resumes from another upstream if it breaks off, where that is safe:
   * for long answers to idempotent GETs that can be validated.
   */
  private withResumption(call: Call, reply: Answer, signal: AbortSignal): Reply {
    if (call.method !== 'GET' || !call.idempotent) return reply;
    const validator = validatorOf(reply.status, reply.headers);
    if (!validator || validator.length <= LONG_ANSWER_BYTES) return reply;
    const fetchRest = (offset: number): Promise<Readable | undefined> =>
      this.fetchRemainder(call, validator, offset, signal);
    return { ...reply, body: resumable(reply.body, validator, fetchRest) };
  }

  /** Fetches a document's bytes from `offset` on; undefined when they can't be had. */
  private async fetchRemainder(
    call: Call,
    validator: Validator,
    offset: number,
    signal: AbortSignal,
  ): Promise<Readable | undefined> {
    if (signal.aborted || !this.budget.take()) return undefined;
    this.context.telemetry.count('retry', { reason: 'resume' });
    const rest: Call = { ...call, headers: rangeHeaders(call.headers, validator, offset) };
    const hops = this.rankedShards(call).flatMap((shard) => this.hopsOf(shard));
    const reply = await this.send(rest, EMPTY_PAYLOAD, hops, signal);
    if (reply.kind === 'refused') return undefined;
    if (isRemainder(reply.status, reply.headers, validator, offset)) return reply.body;
    reply.body.destroy();
    return undefined;
  }

  /** Sends a call to one hop after the other until one answers or none may be tried any more. */
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
      const repeatable = payload.kind === 'whole' && sends < MAX_SEND_COUNT && !signal.aborted;
      const next = repeatable ? this.hopsAfter(call, reply, hop, rest.slice(1)) : [];
      if (next.length === 0) return reply;
      this.context.telemetry.count('resend', { reason: reply.outcome.reason });
      rest = next;
    }
  }

  /** Returns the hops that may be tried after a refusal; none when the refusal is final. */
  private hopsAfter(
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

  /** Sends a call to one hop, and records the load that the reply reports. */
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

  /** Returns the service's shards; the less loaded of two random ones comes first. */
  private rankedShards({ service }: Call): readonly Shard[] {
    const { directory, clock } = this.context;
    const shards = directory.shardsOf(service);
    const [first, second] = [this.pickRandom(shards), this.pickRandom(shards)];
    if (!first || !second) return shards;
    const chosen = this.loads.lessLoaded(first, second, clock.now());
    return [chosen, ...shards.filter(({ id }) => id !== chosen.id)];
  }

  private pickRandom(shards: readonly Shard[]): Shard | undefined {
    return shards[Math.floor(this.context.random() * shards.length)];
  }

  /** Returns the hops to a shard's owners, in order of preference. */
  private hopsOf(shard: Shard): readonly Hop[] {
    const owners = this.context.directory.ownersOf(shard.id);
    return owners.slice(0, MAX_OWNERS_PER_SHARD).map((node) => ({ shard, node }));
  }
}
