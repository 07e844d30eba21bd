import { Readable } from 'node:stream';
import { buffer } from 'node:stream/consumers';

import { DEFAULT_LEDGER_LIMITS, Homes, formatKeyPrefix, parseHomedKey } from '../../src/core';
import { unknownOutcome, type Call, type Member, type NodeIdentity } from '../../src/model';
import type { Handler, PeerLink, Reply } from '../../src/ports';
import { HandoverTask, HomeTask } from '../../src/tasks';

import { silentTelemetry } from './telemetry';

const LIMITS = { ...DEFAULT_LEDGER_LIMITS, startWindow: 5000, maxBodyBytes: 32 };

export const clock = { now: () => performance.now(), wall: () => Date.now() };

export const identity = (name: string): NodeIdentity => ({
  incarnation: name,
  dataCentre: 'tarkwa',
  address: name,
  callerPort: 1,
  peerPort: 2,
});

export const member = (name: string): Member => ({ ...identity(name), state: 'alive' });

export const post = (key: Call['key'], workspace = 'w1', wait = 2000): Call => ({
  id: 'c',
  service: 'bookings',
  method: 'POST',
  path: '/bookings',
  headers: [],
  workspace,
  idempotent: false,
  key,
  deadline: clock.now() + wait,
});

export const homedKey = (home: string, token: string): Call['key'] => {
  const text = formatKeyPrefix(home, clock.now(), LIMITS.startWindow) + token;
  return parseHomedKey(text).unsafeCoerce();
};

/** An upstream that counts its runs and answers when told to. */
export class CountingUpstream {
  runs = 0;

  answer = 'booked';

  private gate: Promise<void> = Promise.resolve();

  /** Holds answers back until the returned function is called. */
  hold(): () => void {
    let release = (): void => {};
    this.gate = new Promise((resolve) => {
      release = resolve;
    });
    return release;
  }

  readonly run: Handler = async (call) => {
    this.runs += 1;
    const body = `${this.answer} ${this.runs} ${call.workspace}`;
    await this.gate;
    return { kind: 'answer', status: 201, headers: [], body: Readable.from([Buffer.from(body)]) };
  };
}

/** A reply as one line of text. */
export const textOf = async (reply: Promise<Reply> | Reply): Promise<string> => {
  const given = await reply;
  if (given.kind === 'refused') return `${given.outcome.kind}/${given.outcome.reason}`;
  return `${given.status} ${(await buffer(given.body)).toString()}`;
};

/** Sends a call with a body to one handler. */
export const ask = (serve: Handler, call: Call, body = 'x'): Promise<string> =>
  textOf(serve(call, Readable.from([Buffer.from(body)]), new AbortController().signal));

/** Home and handover tasks of some nodes, joined by a link in memory. */
export class KeyedNodes {
  /** Loses every message whose number `loseEvery` divides; 0 loses none. */
  private loseEvery = 0;

  private sent = 0;

  private readonly nodes = new Map<
    string,
    { readonly home: HomeTask; readonly handover: HandoverTask }
  >();

  constructor(names: readonly string[], run: Handler) {
    names.forEach((name) => this.start(name, run));
    this.nodes.forEach(({ handover }) => handover.updateMembers(names.map(member)));
  }

  lose(every: number): void {
    this.loseEvery = every;
  }

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
    if (!node) throw new Error(`no node ${name}`);
    return node;
  }

  private start(name: string, run: Handler): void {
    const telemetry = silentTelemetry();
    const homes = new Homes(identity(name), LIMITS, clock.now());
    const peers: PeerLink = {
      send: (to, { body }) => {
        this.sent += 1;
        const isLost = this.loseEvery > 0 && this.sent % this.loseEvery === 1;
        if (!isLost) setImmediate(() => this.handover(to.address).receive(body));
      },
      call: async (to, _role, ...args) =>
        this.nodes.get(to.address)?.home.serve(...args) ?? {
          kind: 'refused',
          outcome: unknownOutcome('peer-lost'),
        },
    };
    const handover = new HandoverTask({
      self: identity(name),
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
      maxBodyBytes: LIMITS.maxBodyBytes,
      run,
      forward: (to, ...args) => peers.call({ ...to, state: 'alive' }, 'home', ...args),
      onHandoverEffect: (effect) => handover.carryOut(effect),
    });
    this.nodes.set(name, { home, handover });
  }
}
