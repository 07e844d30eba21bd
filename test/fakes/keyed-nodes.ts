import { Readable } from 'node:stream';
import { buffer } from 'node:stream/consumers';

import { DEFAULT_LEDGER_LIMITS, Homes, formatKeyPrefix, parseHomedKey } from '../../src/core';
import { unknownOutcome, type Call, type Member, type NodeIdentity } from '../../src/model';
import type { Handler, PeerLink, Reply } from '../../src/ports';
import { HandoverTask, HomeTask } from '../../src/tasks';

import { silentTelemetry } from './telemetry';

const LEDGER_LIMITS = { ...DEFAULT_LEDGER_LIMITS, startWindow: 5000, maxBodyBytes: 32 };

/** The clock of all fake nodes, in milliseconds: monotonic `now`, Unix time `wall`. */
export const clock = { now: () => performance.now(), wall: () => Date.now() };

/** Returns the identity of a node whose incarnation and address are `name`. */
export const nodeIdentity = (name: string): NodeIdentity => ({
  incarnation: name,
  dataCentre: 'tarkwa',
  address: name,
  callerPort: 1,
  peerPort: 2,
});

export const aliveMember = (name: string): Member => ({ ...nodeIdentity(name), state: 'alive' });

/** Returns a non-idempotent POST call whose deadline is `timeoutMs` milliseconds from now. */
export const bookingCall = (key: Call['key'], workspace = 'w1', timeoutMs = 2000): Call => ({
  id: 'c',
  service: 'bookings',
  method: 'POST',
  path: '/bookings',
  headers: [],
  workspace,
  idempotent: false,
  key,
  deadline: clock.now() + timeoutMs,
});

/** Returns a key issued now by the node `home`. */
export const homedKey = (home: string, token: string): Call['key'] => {
  const text = formatKeyPrefix(home, clock.now(), LEDGER_LIMITS.startWindow) + token;
  return parseHomedKey(text).unsafeCoerce();
};

/** An upstream that counts its runs and can hold its answers back. */
export class CountingUpstream {
  runs = 0;

  /** Start of the body of each answer; the number of the run and the workspace follow. */
  answer = 'booked';

  private answersReleased: Promise<void> = Promise.resolve();

  /** Holds answers back until the function that it returns is called. */
  holdAnswers(): () => void {
    let release = (): void => {};
    this.answersReleased = new Promise((resolve) => {
      release = resolve;
    });
    return release;
  }

  readonly run: Handler = async (call) => {
    this.runs += 1;
    const body = `${this.answer} ${this.runs} ${call.workspace}`;
    await this.answersReleased;
    return { kind: 'answer', status: 201, headers: [], body: Readable.from([Buffer.from(body)]) };
  };
}

/** Returns a reply as text: `status body`, or `outcome/reason` of a refusal. */
export const replyText = async (reply: Promise<Reply> | Reply): Promise<string> => {
  const result = await reply;
  if (result.kind === 'refused') return `${result.outcome.kind}/${result.outcome.reason}`;
  return `${result.status} ${(await buffer(result.body)).toString()}`;
};

/** Sends a call with a body to a handler. Returns the reply as text. */
export const sendCall = (serve: Handler, call: Call, body = 'x'): Promise<string> =>
  replyText(serve(call, Readable.from([Buffer.from(body)]), new AbortController().signal));

/** The home and handover tasks of several nodes, joined by an in-memory peer link. */
export class KeyedNodes {
  /** Messages 1, 1 + n, 1 + 2n and so on are lost for the value n; 0 loses none. */
  private lossInterval = 0;

  private sentCount = 0;

  private readonly nodes = new Map<
    string,
    { readonly home: HomeTask; readonly handover: HandoverTask }
  >();

  constructor(names: readonly string[], run: Handler) {
    names.forEach((name) => this.start(name, run));
    this.nodes.forEach(({ handover }) => handover.updateMembers(names.map(aliveMember)));
  }

  /** Loses one of every `interval` messages from now on, for an interval of at least 2. */
  loseMessages(interval: number): void {
    this.lossInterval = interval;
  }

  /** Returns the handler of the keyed calls that reach a node as their home. */
  serve(name: string): Handler {
    return this.node(name).home.serve;
  }

  handover(name: string): HandoverTask {
    return this.node(name).handover;
  }

  close(): void {
    this.nodes.forEach(({ handover }) => handover.close());
  }

  private node(name: string): { readonly home: HomeTask; readonly handover: HandoverTask } {
    const node = this.nodes.get(name);
    if (!node) throw new Error(`expected a started node, got the name ${name}`);
    return node;
  }

  private start(name: string, run: Handler): void {
    const telemetry = silentTelemetry();
    const homes = new Homes(nodeIdentity(name), LEDGER_LIMITS, clock.now());
    const peers: PeerLink = {
      send: (to, { body }) => {
        this.sentCount += 1;
        const isLost = this.lossInterval > 0 && this.sentCount % this.lossInterval === 1;
        if (!isLost) setImmediate(() => this.handover(to.address).receive(body));
      },
      call: async (to, _role, ...args) =>
        this.nodes.get(to.address)?.home.serve(...args) ?? {
          kind: 'refused',
          outcome: unknownOutcome('peer-lost'),
        },
    };
    const handover = new HandoverTask({
      self: nodeIdentity(name),
      peers,
      clock,
      telemetry,
      successorRecordTtl: 10_000,
      apply: (event) => this.node(name).home.apply(event),
      isHandedOver: () => homes.handedOver,
    });
    const home = new HomeTask({
      homes,
      clock,
      telemetry,
      maxBodyBytes: LEDGER_LIMITS.maxBodyBytes,
      run,
      forward: (to, ...args) => peers.call({ ...to, state: 'alive' }, 'home', ...args),
      onHandoverEffect: (effect) => handover.carryOut(effect),
    });
    this.nodes.set(name, { home, handover });
  }
}
