import type { Settlement } from '../../../src/core';
import { type Refusal, notRunOutcome } from '../../../src/model';

import { FakeLog } from './fake-log';
import type { SimNode } from './node';
import { Sim } from './sim';

/** One caller's request; all its copies share the key. */
export interface Order {
  readonly workspace: string;
  readonly key: string;
  readonly home: string | null;
  readonly startBefore: number;
  readonly bornAt: number;
  runs: number;
  /** The body that ran. */
  ran: string | null;
  /** Whether any copy was told `not-run`. */
  refused: boolean;
  done: number;
}

/** One copy of a request on its way. */
export interface Copy {
  readonly order: Order;
  readonly body: string;
  /** In world time. */
  readonly deadline: number;
}

export type CopyEnd = { readonly kind: 'answer'; readonly body: string | null } | Refusal;

export const label = ({ order, body }: Copy): string => `${order.workspace}/${order.key}/${body}`;

/** Makes an answer too large to keep. */
const PADDING = ' '.repeat(100);
const LOSS = 0.03;
const REPEAT = 0.03;
const LATE = 0.02;

/** The network, the log, the upstreams, and the invariants that hold between them. */
export class World {
  readonly sim: Sim;

  readonly log: FakeLog;

  /** The node that listens at each address now. */
  readonly at = new Map<string, SimNode>();

  /** Directions in which nothing passes, `from>to`. */
  readonly cuts = new Set<string>();

  readonly broken: string[] = [];

  readonly tally = { runs: 0, answers: 0, notRun: 0, unknown: 0, handovers: 0 };

  readonly reasons = new Map<string, number>();

  private serial = 0;

  constructor(seed: number) {
    this.sim = new Sim(seed);
    this.log = new FakeLog(this.sim);
  }

  nextSerial(): number {
    this.serial += 1;
    return this.serial;
  }

  /** Delivers to whichever process listens at `to` then: perhaps late, twice or never. */
  send(from: string, to: string, deliver: (node: SimNode) => void): void {
    const { sim } = this;
    const pass = (): void => {
      if (this.cuts.has(`${from}>${to}`) || sim.chance(LOSS)) return;
      const delay = sim.chance(LATE) ? sim.between(100, 20_000) : sim.between(0.5, 15);
      sim.after(delay, () => this.at.get(to)?.whenAwake(() => deliver(this.at.get(to)!)));
    };
    pass();
    if (sim.chance(REPEAT)) pass();
  }

  /** An upstream: starts nothing past the copy's deadline, and counts what it starts. */
  upstream(copy: Copy, reply: (end: Settlement) => void): void {
    const { sim } = this;
    if (sim.now >= copy.deadline) return reply(notRunOutcome('deadline-passed'));
    if (sim.chance(0.08)) return reply(notRunOutcome('shed'));
    this.started(copy);
    const service = sim.chance(0.1) ? sim.between(500, 6000) : sim.between(2, 200);
    if (sim.chance(0.05)) return;
    const text = sim.chance(0.05) ? label(copy) + PADDING : label(copy);
    const body = new TextEncoder().encode(text);
    sim.after(service, () => reply({ kind: 'answer', status: 200, headers: [], body }));
  }

  /** A caller has its answer to one copy. */
  answered(copy: Copy, end: CopyEnd): void {
    const { order } = copy;
    this.count(end.kind === 'answer' ? 'done' : `${end.kind}/${end.reason}`);
    if (end.kind === 'answer') {
      order.done += 1;
      this.tally.answers += 1;
      if (end.body?.trimEnd() !== label(copy))
        this.break(`answer ${end.body ?? '-'} for ${label(copy)}`);
      return;
    }
    if (end.kind === 'unknown') {
      this.tally.unknown += 1;
      return;
    }
    this.tally.notRun += 1;
    const mismatch = end.reason === 'key-body-mismatch';
    if (!mismatch) order.refused = true;
    const ran = mismatch ? order.ran === copy.body : order.runs > 0;
    if (ran) this.break(`told not-run/${end.reason}, had run: ${label(copy)}`);
  }

  break(what: string): void {
    this.broken.push(`t=${Math.round(this.sim.now)} ${what}`);
  }

  private started(copy: Copy): void {
    const { order } = copy;
    order.runs += 1;
    order.ran = copy.body;
    this.tally.runs += 1;
    if (order.runs > 1) this.break(`run ${order.runs} of ${label(copy)}`);
    if (order.refused) this.break(`run after not-run: ${label(copy)}`);
  }

  private count(reason: string): void {
    this.reasons.set(reason, (this.reasons.get(reason) ?? 0) + 1);
  }
}
