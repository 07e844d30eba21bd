/** A caller that follows the rules of docs/CALLERS.md, and a load of several such callers. */
import http from 'node:http';

import { pause, send, type CallerReply, type CallerRequest } from './fleet';

/** Maximum duration of a load. */
const MAX_LOAD_MS = 60_000;
/** Reason that `send` gives when no connection could be made. */
const CONNECT_FAILED = 'caller-connect-failed';

/** JSON answer of `GET /-/addresses`: `host:port` of the nodes, the best one first. */
interface AddressAnswer {
  readonly addresses: readonly string[];
  /** Prefix of new homed keys. */
  readonly keyPrefix: string;
}

/** Keeps an address answer, and refreshes it when the node in use leaves or is unreachable. */
export class Caller {
  private readonly agent = new http.Agent({ keepAlive: true, maxSockets: 4 });

  private answer: AddressAnswer = { addresses: [], keyPrefix: '' };

  private keyCount = 0;

  constructor(
    private readonly service: string,
    /** Base URLs of nodes that may be asked for addresses. */
    private readonly nodes: readonly string[],
    readonly workspace = '',
  ) {}

  /** Returns a new homed key whose home is the node that answered last. */
  async newKey(): Promise<string> {
    if (this.answer.keyPrefix === '') await this.refreshAddresses();
    this.keyCount += 1;
    return `${this.answer.keyPrefix}${this.workspace}-${this.keyCount}`;
  }

  /** Sends a request to the first address that accepts a connection. */
  async send(path: string, request: CallerRequest = {}): Promise<CallerReply> {
    if (this.answer.addresses.length === 0) await this.refreshAddresses();
    const { agent } = this;
    const headers = { ...request.headers, 'redwing-workspace': this.workspace };
    for (const address of this.answer.addresses) {
      const reply = await send(`http://${address}${path}`, { ...request, agent, headers });
      if (reply.reason === CONNECT_FAILED) continue;
      if (reply.headers.connection === 'close') await this.refreshAddresses();
      return reply;
    }
    await this.refreshAddresses();
    return send(`http://${this.answer.addresses[0] ?? ''}${path}`, { ...request, headers });
  }

  close(): void {
    this.agent.destroy();
  }

  /** Asks the nodes for addresses, one after another, until one has any. */
  private async refreshAddresses(): Promise<void> {
    for (const node of this.nodes) {
      const reply = await send(`${node}/-/addresses?service=${this.service}`, {
        headers: { 'redwing-workspace': this.workspace },
      });
      if (reply.status !== 200) continue;
      const answer = JSON.parse(reply.body.toString()) as AddressAnswer;
      if (answer.addresses.length === 0) continue;
      this.answer = answer;
      return;
    }
    await pause(50);
  }
}

/** Counts replies by `outcome reason`; `broken` stands for the outcome of incomplete ones. */
export class ReplyCounts {
  readonly counts = new Map<string, number>();

  add({ outcome, reason, broken }: CallerReply): void {
    const name = broken ? `broken ${reason ?? ''}`.trim() : [outcome, reason].join(' ').trim();
    this.counts.set(name, (this.counts.get(name) ?? 0) + 1);
  }

  get(name: string): number {
    return this.counts.get(name) ?? 0;
  }

  get total(): number {
    return [...this.counts.values()].reduce((sum, count) => sum + count, 0);
  }
}

/** A closed-loop load: each caller sends one request after another until stopped. */
export class Load {
  readonly replyCounts = new ReplyCounts();

  private isStopped = false;

  private readonly startedAt = Date.now();

  private readonly loops: readonly Promise<void>[];

  constructor(
    callers: readonly Caller[],
    private readonly sendOne: (caller: Caller) => Promise<CallerReply>,
  ) {
    this.loops = callers.map((caller) => this.sendUntilStopped(caller));
  }

  /** Stops the load. Resolves to the counts when the last replies have come. */
  async stop(): Promise<ReplyCounts> {
    this.isStopped = true;
    await Promise.all(this.loops);
    return this.replyCounts;
  }

  private async sendUntilStopped(caller: Caller): Promise<void> {
    // The time limit ends the load of a test that failed before it called `stop`.
    while (!this.isStopped && Date.now() - this.startedAt < MAX_LOAD_MS) {
      this.replyCounts.add(await this.sendOne(caller));
    }
    caller.close();
  }
}
