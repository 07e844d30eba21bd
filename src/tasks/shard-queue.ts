/** Queue of one shard, in which calls wait for a slot at an upstream. */
import PQueue from 'p-queue';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

import { Admission, type AdmissionEvent, type UpstreamCapacity } from '../core';
import { notRunOutcome, type Call, type Refusal, type UpstreamId } from '../model';
import type { Clock } from '../ports';

/** Describes a slot granted at an upstream, or why there is none in time. */
export type Grant =
  | { readonly kind: 'granted'; readonly upstream: UpstreamId }
  | { readonly kind: 'refused'; readonly outcome: Refusal };

const CANCELLED: Grant = { kind: 'refused', outcome: notRunOutcome('cancelled') };

/** Owns the admission state of one shard; events are applied one at a time. */
export class ShardQueue {
  private readonly mailbox = new PQueue({ concurrency: 1 });

  private readonly admission: Admission;

  /** Functions that settle the waiting calls, by ticket. */
  private readonly waiting = new Map<string, (grant: Grant) => void>();

  private offerCount = 0;

  private grantedCount = 0;

  constructor(
    private readonly clock: Clock,
    queuePerSlot: number,
    seed: number,
  ) {
    this.admission = new Admission({ queuePerSlot, rng: xoroshiro128plus(seed) });
  }

  /** Number of calls that wait for a slot. */
  get queued(): number {
    return this.waiting.size;
  }

  /** Number of slots in use. */
  get inFlight(): number {
    return this.grantedCount;
  }

  /**
   * Requests a slot at an upstream that is not in `exclude`. Waits for one if `mayWait`, until
   * `signal` is aborted; otherwise refuses unless one is free. Never rejects.
   */
  admit(
    call: Call,
    weight: number,
    exclude: readonly UpstreamId[],
    signal: AbortSignal,
    mayWait = true,
  ): Promise<Grant> {
    if (signal.aborted) return Promise.resolve(CANCELLED);
    this.offerCount += 1;
    const ticket = `${call.id}#${this.offerCount}`;
    return new Promise((resolve) => {
      const onAbort = (): void => {
        this.enqueue({ kind: 'withdrawn', callId: ticket });
        this.settle(ticket, CANCELLED);
      };
      signal.addEventListener('abort', onAbort, { once: true });
      this.waiting.set(ticket, (grant) => {
        signal.removeEventListener('abort', onAbort);
        resolve(grant);
      });
      const { workspace, deadline } = call;
      const offer = { callId: ticket, workspace, weight, deadline, exclude, mayWait };
      this.enqueue({ kind: 'offered', ...offer });
    });
  }

  /** Releases a slot; `latency` in milliseconds is a complete answer's, 0 when there was none. */
  release(upstream: UpstreamId, latency: number): void {
    this.grantedCount -= 1;
    this.enqueue({ kind: 'released', upstream, latency });
  }

  /** Replaces the shard's upstreams, with their slots and shares. */
  update(upstreams: readonly UpstreamCapacity[]): void {
    this.enqueue({ kind: 'upstreams-changed', upstreams });
  }

  /** Sets the number of calls that may wait, for each slot of the shard's upstreams. */
  setQueueLimit(queuePerSlot: number): void {
    this.enqueue({ kind: 'queue-limit-changed', queuePerSlot });
  }

  /** Refuses calls that can no longer start in time. */
  tick(): void {
    this.enqueue({ kind: 'tick' });
  }

  private settle(ticket: string, grant: Grant): void {
    const resolve = this.waiting.get(ticket);
    this.waiting.delete(ticket);
    if (grant.kind === 'granted') this.grantedCount += 1;
    if (resolve) resolve(grant);
    // The call was cancelled before its slot was granted.
    else if (grant.kind === 'granted') this.release(grant.upstream, 0);
  }

  private enqueue(event: AdmissionEvent): void {
    void this.mailbox.add(() => {
      this.admission.apply(event, this.clock.now()).forEach((effect) => {
        switch (effect.kind) {
          case 'start':
            this.settle(effect.callId, { kind: 'granted', upstream: effect.upstream });
            return;
          case 'refuse':
            this.settle(effect.callId, { kind: 'refused', outcome: effect.outcome });
        }
      });
    });
  }
}
