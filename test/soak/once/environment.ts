import type { Settlement } from '../../../src/core';
import { type Refusal, notRunOutcome } from '../../../src/model';

import { FakeLog } from './fake-log';
import type { SimNode } from './node';
import { Simulator } from './simulator';

/** One request of a caller and what has become of it; all its copies share the key. */
export interface KeyedRequest {
  readonly workspace: string;
  readonly key: string;
  /** Incarnation of the node that issued the key's prefix; null for a key of the caller's own. */
  readonly home: string | null;
  /** Start deadline in the key, on the home's monotonic clock; 0 without a home. */
  readonly startBefore: number;
  /** Virtual time. */
  readonly createdAt: number;
  /** Number of times that an upstream has run it. */
  runs: number;
  /** The body that ran last; null before the first run. */
  ran: string | null;
  /** Whether any copy was answered `not-run` for a reason other than `key-body-mismatch`. */
  refused: boolean;
  /** Number of copies that got a response of an upstream. */
  done: number;
}

/** One copy of a request; copies with the same key may differ in their body. */
export interface RequestCopy {
  readonly request: KeyedRequest;
  readonly body: string;
  /** Virtual time. */
  readonly deadline: number;
}

/** The outcome that the caller of one copy gets. A null `body` counts as a wrong response. */
export type CopyOutcome = { readonly kind: 'answer'; readonly body: string | null } | Refusal;

/** Identifies a copy in violations; upstreams also return it as the response body. */
export const copyLabel = ({ request, body }: RequestCopy): string =>
  `${request.workspace}/${request.key}/${body}`;

/** Makes a response body too large for a ledger to keep. */
const OVERSIZE_PADDING = ' '.repeat(100);
const MESSAGE_LOSS_PROBABILITY = 0.03;
const MESSAGE_REPEAT_PROBABILITY = 0.03;
const MESSAGE_DELAY_PROBABILITY = 0.02;

/**
 * The network, the log and the upstreams around the nodes. Records a violation when a key runs
 * twice, runs after `not-run`, or a caller gets a wrong response.
 */
export class OnceEnvironment {
  readonly sim: Simulator;

  readonly log: FakeLog;

  /** The node that currently listens at each address. */
  readonly nodeByAddress = new Map<string, SimNode>();

  /** One-way links on which all messages are lost, as `from>to`. */
  readonly cuts = new Set<string>();

  readonly violations: string[] = [];

  /** Number of runs, of copies by outcome, and of planned stops. */
  readonly tally = { runs: 0, answers: 0, notRun: 0, unknown: 0, handovers: 0 };

  /** Number of copies by the kind and reason of their outcome. */
  readonly countByReason = new Map<string, number>();

  private lastSerial = 0;

  constructor(seed: number) {
    this.sim = new Simulator(seed);
    this.log = new FakeLog(this.sim);
  }

  nextSerial(): number {
    this.lastSerial += 1;
    return this.lastSerial;
  }

  /**
   * Sends a message to the process that listens at `to` on arrival. The message may be delayed,
   * repeated or lost.
   */
  send(from: string, to: string, deliver: (node: SimNode) => void): void {
    const { sim } = this;
    const transmit = (): void => {
      if (this.cuts.has(`${from}>${to}`) || sim.chance(MESSAGE_LOSS_PROBABILITY)) return;
      const delay = sim.chance(MESSAGE_DELAY_PROBABILITY)
        ? sim.between(100, 20_000)
        : sim.between(0.5, 15);
      sim.after(delay, () =>
        this.nodeByAddress.get(to)?.whenAwake(() => deliver(this.nodeByAddress.get(to)!)),
      );
    };
    transmit();
    if (sim.chance(MESSAGE_REPEAT_PROBABILITY)) transmit();
  }

  /**
   * Sends a copy to an upstream, which rejects it past its deadline, sheds it, runs it and responds,
   * or runs it without a response.
   */
  sendToUpstream(copy: RequestCopy, reply: (end: Settlement) => void): void {
    const { sim } = this;
    if (sim.now >= copy.deadline) return reply(notRunOutcome('deadline-passed'));
    if (sim.chance(0.08)) return reply(notRunOutcome('shed'));
    this.recordRun(copy);
    const service = sim.chance(0.1) ? sim.between(500, 6000) : sim.between(2, 200);
    if (sim.chance(0.05)) return;
    const text = sim.chance(0.05) ? copyLabel(copy) + OVERSIZE_PADDING : copyLabel(copy);
    const body = new TextEncoder().encode(text);
    sim.after(service, () => reply({ kind: 'answer', status: 200, headers: [], body }));
  }

  /** Records the outcome that a caller got for one copy and checks it. */
  recordOutcome(copy: RequestCopy, end: CopyOutcome): void {
    const { request } = copy;
    this.countReason(end.kind === 'answer' ? 'done' : `${end.kind}/${end.reason}`);
    if (end.kind === 'answer') {
      request.done += 1;
      this.tally.answers += 1;
      if (end.body?.trimEnd() !== copyLabel(copy))
        this.recordViolation(`got response ${end.body ?? '-'}, expected ${copyLabel(copy)}`);
      return;
    }
    if (end.kind === 'unknown') {
      this.tally.unknown += 1;
      return;
    }
    this.tally.notRun += 1;
    const mismatch = end.reason === 'key-body-mismatch';
    if (!mismatch) request.refused = true;
    const hasRun = mismatch ? request.ran === copy.body : request.runs > 0;
    if (hasRun)
      this.recordViolation(
        `answered not-run/${end.reason} although it had run: ${copyLabel(copy)}`,
      );
  }

  recordViolation(what: string): void {
    this.violations.push(`t=${Math.round(this.sim.now)} ${what}`);
  }

  private recordRun(copy: RequestCopy): void {
    const { request } = copy;
    request.runs += 1;
    request.ran = copy.body;
    this.tally.runs += 1;
    if (request.runs > 1) this.recordViolation(`run ${request.runs} of ${copyLabel(copy)}`);
    if (request.refused) this.recordViolation(`ran after not-run: ${copyLabel(copy)}`);
  }

  private countReason(reason: string): void {
    this.countByReason.set(reason, (this.countByReason.get(reason) ?? 0) + 1);
  }
}
