/** The mailbox of one shard's admission: calls wait here for a slot. */
import PQueue from 'p-queue';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

import { Admission, type AdmissionEvent, type UpstreamCapacity } from '../core';
import { notRunOutcome, type Call, type Refusal, type UpstreamId } from '../model';
import type { Clock } from '../ports';

/** A slot at an upstream, or why there is none to be had in time. */
export type Grant =
  | { readonly kind: 'granted'; readonly upstream: UpstreamId }
  | { readonly kind: 'refused'; readonly outcome: Refusal };

const CANCELLED: Grant = { kind: 'refused', outcome: notRunOutcome('cancelled') };

/** Owns the admission of one shard. */
export class ShardQueue {
  private readonly mailbox = new PQueue({ concurrency: 1 });

  private readonly admission: Admission;

  private readonly waiting = new Map<string, (grant: Grant) => void>();

  private offers = 0;

  private granted = 0;

  constructor(
    private readonly clock: Clock,
    queuePerSlot: number,
    seed: number,
  ) {
    this.admission = new Admission({ queuePerSlot, rng: xoroshiro128plus(seed) });
  }

  /** Calls that wait for a slot. */
  get queued(): number {
    return this.waiting.size;
  }

  /** Slots taken. */
  get inFlight(): number {
    return this.granted;
  }

  /**
   * Waits for a slot at an upstream other than `exclude`, or takes one only if it is free;
   * aborting `signal` leaves the queue.
   */
  admit(
    call: Call,
    weight: number,
    exclude: readonly UpstreamId[],
    signal: AbortSignal,
    mayWait = true,
  ): Promise<Grant> {
    if (signal.aborted) return Promise.resolve(CANCELLED);
    this.offers += 1;
    const ticket = `${call.id}#${this.offers}`;
    return new Promise((resolve) => {
      const onAbort = (): void => {
        this.tell({ kind: 'withdrawn', callId: ticket });
        this.settle(ticket, CANCELLED);
      };
      signal.addEventListener('abort', onAbort, { once: true });
      this.waiting.set(ticket, (grant) => {
        signal.removeEventListener('abort', onAbort);
        resolve(grant);
      });
      const { workspace, deadline } = call;
      const offer = { callId: ticket, workspace, weight, deadline, exclude, mayWait };
      this.tell({ kind: 'offered', ...offer });
    });
  }

  /** Gives a slot back; `latency` is that of a whole answer, 0 when there was none. */
  release(upstream: UpstreamId, latency: number): void {
    this.granted -= 1;
    this.tell({ kind: 'released', upstream, latency });
  }

  update(upstreams: readonly UpstreamCapacity[]): void {
    this.tell({ kind: 'upstreams-changed', upstreams });
  }

  /** Calls that may wait, for each slot of the shard's upstreams. */
  limit(queuePerSlot: number): void {
    this.tell({ kind: 'queue-limit-changed', queuePerSlot });
  }

  /** Refuses what can no longer start in time. */
  tick(): void {
    this.tell({ kind: 'tick' });
  }

  private settle(ticket: string, grant: Grant): void {
    const resolve = this.waiting.get(ticket);
    this.waiting.delete(ticket);
    if (grant.kind === 'granted') this.granted += 1;
    if (resolve) resolve(grant);
    // The call was given up as its slot came free.
    else if (grant.kind === 'granted') this.release(grant.upstream, 0);
  }

  private tell(event: AdmissionEvent): void {
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
