import type { Incarnation, Instant, Millis, NodeIdentity } from '../../model';

import { DIRECT_PROBE_TIMEOUT_MS, HELPER_TIMEOUT_MS, MEMBER_PROBE_TIMEOUT_MS } from './timing';

/** Describes a probe of this node's own that is neither answered nor failed yet. */
export interface Probe {
  readonly seq: number;
  readonly target: NodeIdentity;
  /** Time from which helpers are asked to probe the target too. */
  readonly askHelpersAt: Instant;
  /** Time from which the probe counts as failed. */
  readonly deadline: Instant;
  /** Nodes asked to probe the target; empty until they are asked. */
  readonly helpers: ReadonlySet<Incarnation>;
  /** Helpers that reported no answer from the target either. */
  readonly nacks: ReadonlySet<Incarnation>;
}

/** Describes a probe that this node makes as a helper of another node. */
export interface RelayedProbe {
  readonly seq: number;
  /** Node that asked for the probe. */
  readonly origin: NodeIdentity;
  /** Sequence number of the probe at `origin`. */
  readonly originSeq: number;
  /** Time from which a missing answer is reported to `origin`. */
  readonly nackAt: Instant;
  /** Time from which an answer is no longer passed on. */
  readonly deadline: Instant;
  readonly isNackSent: boolean;
}

const NO_NODES: ReadonlySet<Incarnation> = new Set();

/** Holds this node's own probes and those that it makes for others, by sequence number. */
export class MemberProbes {
  private readonly own = new Map<number, Probe>();

  private readonly relays = new Map<number, RelayedProbe>();

  private lastSeq = 0;

  nextSeq(): number {
    this.lastSeq += 1;
    return this.lastSeq;
  }

  /** Records a probe of `target` and returns its sequence number. */
  start(target: NodeIdentity, now: Instant, scaleTimeout: (millis: Millis) => Millis): number {
    const seq = this.nextSeq();
    const askHelpersAt = now + scaleTimeout(DIRECT_PROBE_TIMEOUT_MS);
    const deadline = now + scaleTimeout(MEMBER_PROBE_TIMEOUT_MS);
    this.own.set(seq, { seq, target, askHelpersAt, deadline, helpers: NO_NODES, nacks: NO_NODES });
    return seq;
  }

  /** Records a probe made for `origin` and returns its sequence number. */
  startRelay(origin: NodeIdentity, originSeq: number, now: Instant): number {
    const seq = this.nextSeq();
    const nackAt = now + HELPER_TIMEOUT_MS;
    const deadline = now + MEMBER_PROBE_TIMEOUT_MS;
    this.relays.set(seq, { seq, origin, originSeq, nackAt, deadline, isNackSent: false });
    return seq;
  }

  isProbing(incarnation: Incarnation): boolean {
    return [...this.own.values()].some(({ target }) => target.incarnation === incarnation);
  }

  /** Removes and returns the own probe that an answer belongs to. */
  takeAnswered(seq: number): Probe | undefined {
    const probe = this.own.get(seq);
    this.own.delete(seq);
    return probe;
  }

  /** Removes and returns the relayed probe that an answer belongs to. */
  takeAnsweredRelay(seq: number): RelayedProbe | undefined {
    const relay = this.relays.get(seq);
    this.relays.delete(seq);
    return relay;
  }

  /** Records that a helper reported no answer; nodes that were not asked are ignored. */
  recordNack(seq: number, by: Incarnation): void {
    const probe = this.own.get(seq);
    if (!probe?.helpers.has(by)) return;
    this.own.set(seq, { ...probe, nacks: new Set([...probe.nacks, by]) });
  }

  /** Returns the own probes for which helpers have to be asked now. */
  dueForHelpers(now: Instant): readonly Probe[] {
    return [...this.own.values()].filter(
      ({ askHelpersAt, helpers }) => helpers === NO_NODES && now >= askHelpersAt,
    );
  }

  recordHelpers({ seq }: Probe, helpers: readonly NodeIdentity[]): void {
    const probe = this.own.get(seq);
    if (!probe) return;
    this.own.set(seq, { ...probe, helpers: new Set(helpers.map((node) => node.incarnation)) });
  }

  /** Removes and returns the own probes whose deadline has passed. */
  takeExpired(now: Instant): readonly Probe[] {
    const failed = [...this.own.values()].filter(({ deadline }) => now >= deadline);
    failed.forEach(({ seq }) => this.own.delete(seq));
    return failed;
  }

  /**
   * Returns the relayed probes whose missing answer has to be reported now, each once. Removes
   * those past their deadline.
   */
  takeUnansweredRelays(now: Instant): readonly RelayedProbe[] {
    const due = [...this.relays.values()].filter(
      ({ nackAt, isNackSent }) => !isNackSent && now >= nackAt,
    );
    due.forEach((relay) => this.relays.set(relay.seq, { ...relay, isNackSent: true }));
    [...this.relays.values()]
      .filter(({ deadline }) => now >= deadline)
      .forEach(({ seq }) => this.relays.delete(seq));
    return due;
  }

  /** Drops this node's own probes without counting them as failed. */
  abandon(): void {
    this.own.clear();
  }
}
