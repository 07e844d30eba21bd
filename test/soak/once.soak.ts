import { formatKeyPrefix } from '../../src/core';
import type { SoakScenario, SoakVerdict } from './scenario';

import { CLAIM_HORIZON_MS, SimNode, START_WINDOW_MS } from './once/node';
import { type KeyedRequest, OnceEnvironment } from './once/environment';

const ADDRESSES = ['127.0.0.1', '127.0.0.2', '127.0.0.3', '127.0.0.4', '127.0.0.5'];
/** Longest time for a planned stop; the process ends after it. */
const STOP_GRACE_MS = 8000;
const MS_PER_MINUTE = 60_000;
/** State of a request of which no copy has been sent. */
const NEW_REQUEST_STATE = { runs: 0, ran: null, refused: false, done: 0 };

/** Returns a start deadline in base 36 that is later than the home can have issued. */
const forgeStartDeadline = (issued: string): string =>
  (parseInt(issued, 36) + START_WINDOW_MS * 1.5).toString(36);

/** A key prefix that a home has issued to callers. */
interface IssuedPrefix {
  /** Incarnation of the home. */
  readonly home: string;
  readonly prefix: string;
  /** Start deadline in the prefix, in base 36 milliseconds of the home's monotonic clock. */
  readonly encodedStartBefore: string;
}

/** Starts the nodes, and schedules callers, prefixes and faults at random times. */
class OnceScenario {
  private readonly nodes: SimNode[] = [];

  private recentPrefixes: readonly IssuedPrefix[] = [];

  constructor(private readonly environment: OnceEnvironment) {
    ADDRESSES.forEach((address) => this.startNode(address));
    this.repeatAtGaps(20, 150, () => this.sendNewRequest());
    this.repeatAtGaps(500, 3000, () => this.issuePrefix());
    this.repeatAtGaps(2000, 9000, () => this.injectFault());
  }

  private repeatAtGaps(low: number, high: number, run: () => void): void {
    const { sim } = this.environment;
    sim.after(sim.between(low, high), () => {
      run();
      this.repeatAtGaps(low, high, run);
    });
  }

  private liveNodes(): readonly SimNode[] {
    return this.nodes.filter(({ hasEnded }) => !hasEnded);
  }

  private startNode(address: string): void {
    const { environment } = this;
    const id = {
      incarnation: `n${environment.nextSerial()}`,
      dataCentre: 'tarkwa',
      address,
      callerPort: 1,
      peerPort: 2,
    };
    const node: SimNode = new SimNode(environment, id, () =>
      this.liveNodes().filter((other) => other !== node),
    );
    this.nodes.push(node);
    environment.nodeByAddress.set(node.address, node);
    node.tick();
    const peer = environment.sim.pick(this.liveNodes());
    node.receiveMessage({ kind: 'heirs', heirs: peer.successors.list() });
  }

  /** Ends a process; the other nodes notice after a while, and a new process takes its address. */
  private endNode(node: SimNode): void {
    if (node.hasEnded) return;
    node.end();
    const { sim } = this.environment;
    this.liveNodes().forEach((other) =>
      other.after(sim.between(300, 5000), () => other.markDead(node.id.incarnation)),
    );
    sim.after(sim.between(100, 6000), () => this.startNode(node.id.address));
  }

  private injectFault(): void {
    const { sim, log, cuts } = this.environment;
    const node = sim.pick(this.liveNodes());
    const kind = sim.pick(['kill', 'freeze', 'cut', 'outage', 'stop', 'stop'] as const);
    switch (kind) {
      case 'kill':
        return this.endNode(node);
      case 'freeze':
        node.frozenUntil = sim.now + sim.between(50, 15_000);
        return this.suspectFalsely(node);
      case 'cut': {
        const cut = `${node.address}>${sim.pick(this.liveNodes()).address}`;
        cuts.add(cut);
        return sim.after(sim.between(500, 15_000), () => cuts.delete(cut));
      }
      case 'outage':
        log.isInOutage = true;
        return sim.after(sim.between(500, 20_000), () => {
          log.isInOutage = false;
        });
      case 'stop':
        return this.stopNode(node);
    }
  }

  /** Lets some nodes believe a paused node dead for a while, then alive again. */
  private suspectFalsely({ id }: SimNode): void {
    const { sim } = this.environment;
    const observers = this.liveNodes().filter((other) => other.id !== id && sim.chance(0.4));
    observers.forEach((other) => {
      other.after(sim.between(500, 4000), () => other.markDead(id.incarnation));
      other.after(sim.between(4000, 16_000), () => other.deadIncarnations.delete(id.incarnation));
    });
  }

  /** Stops a node with a handover, which is started a second time with another successor at random. */
  private stopNode(node: SimNode): void {
    const { sim } = this.environment;
    const successors = this.liveNodes().filter((other) => other !== node && !other.isStopping);
    if (successors.length === 0) return;
    node.whenAwake(() => node.stop(sim.pick(successors).id));
    if (sim.chance(0.3)) node.after(sim.between(1, 2000), () => node.stop(sim.pick(successors).id));
    const endWhenHandedOver = (): void => {
      if (node.homes.handedOver) this.endNode(node);
      else node.after(100, endWhenHandedOver);
    };
    node.after(100, endWhenHandedOver);
    sim.after(STOP_GRACE_MS, () => this.endNode(node));
  }

  /** Lets a node issue a key prefix; callers use the last six. */
  private issuePrefix(): void {
    const node = this.environment.sim.pick(this.liveNodes());
    const home = node.id.incarnation;
    const prefix = formatKeyPrefix(home, node.now, START_WINDOW_MS);
    this.recentPrefixes = [
      ...this.recentPrefixes,
      { home, prefix, encodedStartBefore: prefix.split('.')[2]! },
    ].slice(-6);
  }

  /**
   * Sends a request with a new key, at times with a forged start deadline, and at times the same key
   * from a second workspace.
   */
  private sendNewRequest(): void {
    const { sim } = this.environment;
    const source =
      this.recentPrefixes.length > 0 && sim.chance(0.6) ? sim.pick(this.recentPrefixes) : null;
    const token = `t${this.environment.nextSerial()}${'x'.repeat(Math.floor(sim.between(0, 3)))}`;
    const issued = source ? source.prefix + token : token;
    const key =
      source && sim.chance(0.03)
        ? issued.replace(source.encodedStartBefore, forgeStartDeadline)
        : issued;
    const startBefore = source ? parseInt(key.split('.')[2]!, 36) : 0;
    const home = source?.home ?? null;
    this.sendRequest({
      ...NEW_REQUEST_STATE,
      workspace: 'w1',
      key,
      home,
      startBefore,
      createdAt: sim.now,
    });
    if (sim.chance(0.9)) return;
    this.sendRequest({
      ...NEW_REQUEST_STATE,
      workspace: 'w2',
      key,
      home,
      startBefore,
      createdAt: sim.now,
    });
  }

  /** Sends the first copy of a request and up to three later ones. */
  private sendRequest(request: KeyedRequest): void {
    const { sim } = this.environment;
    this.sendCopy(request, 'b');
    if (sim.chance(0.3)) this.sendLater(request, sim.between(0, 50));
    if (sim.chance(0.3)) this.sendLater(request, sim.between(50, 4000));
    if (sim.chance(0.25)) this.sendLater(request, sim.between(4000, 54_000));
  }

  /** Sends a copy after `delay` milliseconds, at times with another body. */
  private sendLater(request: KeyedRequest, delay: number): void {
    const { sim } = this.environment;
    sim.after(delay, () => this.sendCopy(request, sim.chance(0.05) ? 'other' : 'b'));
  }

  /**
   * Sends one copy to a random node. A caller retries most copies with an `unknown` outcome and some
   * with a `not-run` outcome.
   */
  private sendCopy(request: KeyedRequest, body: string): void {
    const { environment } = this;
    const { sim } = environment;
    if (request.home === null && sim.now > request.createdAt + CLAIM_HORIZON_MS - 5000) return;
    const copy = { request, body, deadline: sim.now + sim.between(20, 5000) };
    const entryNode = sim.pick(this.liveNodes());
    entryNode.whenAwake(() =>
      entryNode.serve(copy, (end) => {
        environment.recordOutcome(copy, end);
        if (end.kind === 'unknown' && sim.chance(0.7)) {
          sim.after(sim.between(1, 3000), () => this.sendCopy(request, body));
        }
        if (end.kind === 'not-run' && sim.chance(0.2)) this.sendLater(request, 500);
      }),
    );
  }
}

const run = (seed: number, minutes: number): SoakVerdict => {
  const environment = new OnceEnvironment(seed);
  const scenario = new OnceScenario(environment);
  environment.sim.runUntil(minutes * MS_PER_MINUTE);
  const { runs, answers, notRun, unknown, handovers } = environment.tally;
  const figures = `runs=${runs} done=${answers} not-run=${notRun} unknown=${unknown} handovers=${handovers}`;
  const ok = environment.violations.length === 0 && scenario instanceof OnceScenario;
  return { ok, detail: ok ? figures : environment.violations.slice(0, 3).join('; ') };
};

/**
 * Checks that each key runs at most once, that none runs after `not-run`, and that each caller gets
 * the response to its own request, under faults of nodes, network and log.
 */
export const onceSoak: SoakScenario = {
  name: 'once',
  ciSeeds: [1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12],
  run,
};
