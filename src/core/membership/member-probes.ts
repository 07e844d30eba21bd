import type { Incarnation, Instant, Millis, NodeIdentity } from '../../model';

import { DIRECT_TIMEOUT, HELPER_TIMEOUT, MEMBER_PROBE_TIMEOUT_MS } from './timing';

/** A probe that has no verdict yet. */
export interface Probe {
  readonly seq: number;
  readonly target: NodeIdentity;
  /** Past it, helpers are asked. */
  readonly helpAt: Instant;
  /** Past it, the probe has failed. */
  readonly deadline: Instant;
  readonly helpers: ReadonlySet<Incarnation>;
  /** The helpers that said that they had no answer either. */
  readonly nacks: ReadonlySet<Incarnation>;
}

/** A probe made for another node. */
export interface Relay {
  readonly seq: number;
  readonly origin: NodeIdentity;
  readonly originSeq: number;
  readonly nackAt: Instant;
  readonly deadline: Instant;
  readonly nacked: boolean;
}

const NOBODY: ReadonlySet<Incarnation> = new Set();

/** The probes of this node's own and those that it makes for others, by sequence number. */
export class MemberProbes {
  private readonly own = new Map<number, Probe>();

  private readonly relays = new Map<number, Relay>();

  private lastSeq = 0;

  nextSeq(): number {
    this.lastSeq += 1;
    return this.lastSeq;
  }

  start(target: NodeIdentity, now: Instant, stretch: (millis: Millis) => Millis): number {
    const seq = this.nextSeq();
    const helpAt = now + stretch(DIRECT_TIMEOUT);
    const deadline = now + stretch(MEMBER_PROBE_TIMEOUT_MS);
    this.own.set(seq, { seq, target, helpAt, deadline, helpers: NOBODY, nacks: NOBODY });
    return seq;
  }

  relay(origin: NodeIdentity, originSeq: number, now: Instant): number {
    const seq = this.nextSeq();
    const nackAt = now + HELPER_TIMEOUT;
    const deadline = now + MEMBER_PROBE_TIMEOUT_MS;
    this.relays.set(seq, { seq, origin, originSeq, nackAt, deadline, nacked: false });
    return seq;
  }

  isProbing(incarnation: Incarnation): boolean {
    return [...this.own.values()].some(({ target }) => target.incarnation === incarnation);
  }

  /** The probe that an answer belongs to; it is over with that. */
  answered(seq: number): Probe | undefined {
    const probe = this.own.get(seq);
    this.own.delete(seq);
    return probe;
  }

  /** The relay that an answer belongs to; it is over with that. */
  relayed(seq: number): Relay | undefined {
    const relay = this.relays.get(seq);
    this.relays.delete(seq);
    return relay;
  }

  nacked(seq: number, by: Incarnation): void {
    const probe = this.own.get(seq);
    if (!probe?.helpers.has(by)) return;
    this.own.set(seq, { ...probe, nacks: new Set([...probe.nacks, by]) });
  }

  /** Own probes whose target is late. */
  awaitingHelp(now: Instant): readonly Probe[] {
    return [...this.own.values()].filter(
      ({ helpAt, helpers }) => helpers === NOBODY && now >= helpAt,
    );
  }

  askedForHelp({ seq }: Probe, helpers: readonly NodeIdentity[]): void {
    const probe = this.own.get(seq);
    if (!probe) return;
    this.own.set(seq, { ...probe, helpers: new Set(helpers.map((node) => node.incarnation)) });
  }

  /** Own probes that have failed; they are over with that. */
  takeFailed(now: Instant): readonly Probe[] {
    const failed = [...this.own.values()].filter(({ deadline }) => now >= deadline);
    failed.forEach(({ seq }) => this.own.delete(seq));
    return failed;
  }

  /** Relays to be reported as unanswered; forgets those that are long over. */
  takeUnanswered(now: Instant): readonly Relay[] {
    const due = [...this.relays.values()].filter(({ nackAt, nacked }) => !nacked && now >= nackAt);
    due.forEach((relay) => this.relays.set(relay.seq, { ...relay, nacked: true }));
    [...this.relays.values()]
      .filter(({ deadline }) => now >= deadline)
      .forEach(({ seq }) => this.relays.delete(seq));
    return due;
  }

  /** Drops this node's own probes without a verdict. */
  abandon(): void {
    this.own.clear();
  }
}
