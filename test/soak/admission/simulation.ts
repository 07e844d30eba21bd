import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

import {
  Admission,
  type AdmissionEffect,
  type AdmissionEvent,
  type UpstreamCapacity,
} from '../../../src/core';
import type { Instant, Millis, UpstreamId } from '../../../src/model';
import { VirtualTime } from '../../fakes/virtual-time';

export const TICK_PERIOD_MS: Millis = 50;
/** Queue capacity in calls for each slot. */
const QUEUED_CALLS_PER_SLOT = 4;

interface PendingCall {
  readonly offeredAt: Instant;
  readonly deadline: Instant;
  /** Upstreams that the call has already tried. */
  readonly exclude: readonly UpstreamId[];
  /** Whether the call may be queued; otherwise it starts or is refused at once. */
  readonly mayWait: boolean;
  /** Whether some call had completed before this offer, so that admission can estimate latency. */
  readonly hasLatencyEstimate: boolean;
}

/** Number of calls offered, and of calls that ended in each way. */
export interface CallTally {
  offered: number;
  started: number;
  refused: number;
  withdrawn: number;
}

class InvariantError extends Error {}

/**
 * Drives one `Admission` in virtual time with upstreams that appear, disappear, fail and hang.
 * Throws `InvariantError` as soon as an invariant is violated.
 */
export class AdmissionSimulation {
  readonly time = new VirtualTime();

  readonly tally: CallTally = { offered: 0, started: 0, refused: 0, withdrawn: 0 };

  private readonly rng;

  private readonly admission: Admission;

  private readonly pending = new Map<string, PendingCall>();

  private readonly runningByUpstream = new Map<UpstreamId, number>();

  private upstreamById = new Map<UpstreamId, UpstreamCapacity>();

  /** Shortest service time of a call; no complete response arrives sooner. */
  private minServiceTime: Millis = 1;

  private hasCompletedCall = false;

  constructor(seed: number) {
    this.rng = xoroshiro128plus(seed);
    const rng = xoroshiro128plus(seed + 1);
    this.admission = new Admission({ queuePerSlot: QUEUED_CALLS_PER_SLOT, rng });
    this.minServiceTime = this.draw(1, 40);
  }

  draw(min: number, max: number): number {
    return uniformInt(this.rng, min, max);
  }

  get upstreams(): readonly UpstreamCapacity[] {
    return [...this.upstreamById.values()];
  }

  get pendingCallIds(): readonly string[] {
    return [...this.pending.keys()];
  }

  setUpstreams(upstreams: readonly UpstreamCapacity[]): void {
    this.upstreamById = new Map(upstreams.map((upstream) => [upstream.id, upstream]));
    this.applyEvent({ kind: 'upstreams-changed', upstreams });
  }

  offer(workspace: string, weight: number, timeout: Millis, mayWait: boolean): void {
    this.tally.offered += 1;
    const callId = `c${this.tally.offered}`;
    const exclude = this.upstreams.filter(() => this.draw(0, 19) === 0).map(({ id }) => id);
    const { now } = this.time;
    const deadline = now + timeout;
    const hasLatencyEstimate = this.hasCompletedCall;
    this.pending.set(callId, { offeredAt: now, deadline, exclude, mayWait, hasLatencyEstimate });
    this.applyEvent({ kind: 'offered', callId, workspace, weight, deadline, exclude, mayWait });
    if (!mayWait)
      this.assert(!this.pending.has(callId), 'a call that must not be queued was queued');
  }

  withdraw(callId: string): void {
    this.tally.withdrawn += 1;
    this.pending.delete(callId);
    this.applyEvent({ kind: 'withdrawn', callId });
  }

  tick(): void {
    this.applyEvent({ kind: 'tick' });
    const { now } = this.time;
    this.pending.forEach(({ deadline, hasLatencyEstimate }, callId) => {
      const latest = hasLatencyEstimate ? deadline - this.minServiceTime : deadline;
      this.assert(
        now <= latest,
        `${callId} is queued although it can't finish before its deadline`,
      );
    });
  }

  applyEvent(event: AdmissionEvent): void {
    const effects = this.admission.apply(event, this.time.now);
    effects.forEach((effect) => this.executeEffect(effect));
    this.checkQueue();
  }

  private executeEffect(effect: AdmissionEffect): void {
    const call = this.pending.get(effect.callId);
    if (!call) throw new InvariantError(`${effect.callId} was settled twice`);
    this.pending.delete(effect.callId);
    if (effect.kind === 'start') this.start(call, effect.upstream);
    else this.recordRefusal(call, effect);
  }

  private start({ deadline, exclude }: PendingCall, id: UpstreamId): void {
    this.tally.started += 1;
    const { slots = 0, share = 0 } = this.upstreamById.get(id) ?? {};
    const running = (this.runningByUpstream.get(id) ?? 0) + 1;
    this.runningByUpstream.set(id, running);
    this.assert(running <= slots, `${id} runs ${running} calls, has ${slots} slots`);
    this.assert(share > 0, `${id} got a call although its share is 0 or it is not listed`);
    this.assert(!exclude.includes(id), `${id} got a call that excludes it`);
    this.assert(this.time.now < deadline, 'a call started after its deadline');
    this.serveCall(id, deadline - this.time.now);
  }

  private serveCall(id: UpstreamId, remaining: Millis): void {
    const isHung = this.draw(0, 99) === 0;
    const needed = isHung ? Infinity : this.minServiceTime * this.draw(1, 4);
    const isComplete = needed <= remaining && this.draw(0, 19) > 0;
    this.time.at(this.time.now + Math.min(needed, remaining), () => {
      this.runningByUpstream.set(id, (this.runningByUpstream.get(id) ?? 0) - 1);
      if (isComplete) this.hasCompletedCall = true;
      this.applyEvent({ kind: 'released', upstream: id, latency: isComplete ? needed : 0 });
    });
  }

  private recordRefusal(
    call: PendingCall,
    effect: Extract<AdmissionEffect, { kind: 'refuse' }>,
  ): void {
    this.tally.refused += 1;
    const { outcome } = effect;
    this.assert(outcome.kind === 'not-run', 'a refusal has an outcome other than not-run');
    this.assert(outcome.retryAfter > 0, 'a refusal has no positive retryAfter');
    const latest = call.deadline - (call.hasLatencyEstimate ? this.minServiceTime : 0);
    const bound = Math.max(call.offeredAt, latest) + TICK_PERIOD_MS;
    this.assert(
      this.time.now <= bound,
      `refused at ${this.time.now}, unable to finish in time since ${latest}`,
    );
  }

  private checkQueue(): void {
    const { queued } = this.admission;
    this.assert(
      queued === this.pending.size,
      `admission counts ${queued} queued calls, expected ${this.pending.size}`,
    );
    this.pending.forEach(({ exclude }, callId) => {
      const open = this.upstreams.filter(({ id, share }) => share > 0 && !exclude.includes(id));
      this.assert(open.length > 0, `${callId} is queued although no upstream may take it`);
      const free = open.find(({ id }) => (this.runningByUpstream.get(id) ?? 0) === 0);
      this.assert(!free, `${callId} is queued although ${free?.id} is idle`);
    });
  }

  private assert(holds: boolean, message: string): void {
    if (!holds) throw new InvariantError(`at ${this.time.now}: ${message}`);
  }
}
