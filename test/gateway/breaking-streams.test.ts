import { expect } from 'earl';
import net, { type AddressInfo, type Socket } from 'node:net';
import { after, before, describe, it } from 'node:test';

import { MAX_WHOLE_ANSWER_BYTES } from '../../src/core/gateway';
import { GatewayHarness, routeOf } from './harness';

const REQUEST_ID = /^x-redwingmount-request-id: *(.*)$/im;
const HEAD_END = '\r\n\r\n';
/** Deadline in milliseconds of a download whose upstream falls silent, and of all other requests. */
const SILENT_DEADLINE_MS = 600;
const DEADLINE_MS = 8000;
/** Time in milliseconds after which an upstream breaks off what it has sent. */
const BREAK_AFTER_MS = 100;
/** Time in milliseconds in which a request that is passed on has run. */
const RUN_MS = 200;
const STREAMED_BYTES = 3 * 2 ** 20;

const FRAMINGS = ['length', 'chunks'] as const;
const ENDS = ['closed', 'reset', 'silent'] as const;

/** A download as its path tells it: `begins` once so many orders have arrived behind it. */
interface Plan {
  readonly framing: (typeof FRAMINGS)[number];
  readonly end: (typeof ENDS)[number] | 'whole';
  readonly size: number;
  readonly begins: number;
}

const pathOf = ({ framing, end, size, begins }: Plan, group: string): string =>
  `/read/${group}/${framing}/${end}/${size}/${begins}`;

const answerHead = (id: string, more: string): string =>
  `HTTP/1.1 200 OK\r\nX-Redwingmount-Request-Id: ${id}\r\nX-Redwingmount-Response-Signature: s\r\n${more}\r\n`;

/** Writes the answer to a download, whole or with three quarters of its body. */
const writeDownload = (socket: Socket, id: string, method: string, plan: Plan): void => {
  const { framing, end, size } = plan;
  const sent = end === 'whole' ? size : (size * 3) / 4;
  const body = 'b'.repeat(method === 'HEAD' ? 0 : sent);
  const text =
    framing === 'length'
      ? answerHead(id, `Content-Length: ${size}\r\n`) + body
      : `${answerHead(id, 'Transfer-Encoding: chunked\r\n')}${body.length.toString(16)}\r\n${body}\r\n${end === 'whole' ? '0\r\n\r\n' : ''}`;
  socket.write(text, () => {
    if (end === 'closed') setTimeout(() => socket.end(), BREAK_AFTER_MS);
    if (end === 'reset') setTimeout(() => socket.resetAndDestroy(), BREAK_AFTER_MS);
  });
};

/** An upstream of downloads and orders. An order's path names its group, and whether it waits. */
class Upstream {
  /** Ids of the orders that have run. */
  readonly runs: string[] = [];

  /** Answers to orders that wait for `finish`, by group. */
  private readonly unfinished = new Map<string, (() => void)[]>();

  private readonly downloads: { readonly group: string; begins: number; begin: () => void }[] = [];

  readonly server = net.createServer((socket) => {
    let text = '';
    socket.on('error', () => {});
    socket.on('data', (chunk) => {
      text += chunk.toString('latin1');
      for (;;) {
        const end = text.indexOf(HEAD_END);
        if (end < 0) return;
        this.onRequest(socket, text.slice(0, end));
        text = text.slice(end + HEAD_END.length);
      }
    });
  });

  /** Answers the orders of a group that wait. */
  finish(group: string): void {
    this.unfinished.get(group)?.forEach((answer) => answer());
  }

  private onRequest(socket: Socket, head: string): void {
    const [method = '', path = ''] = head.split(' ');
    const id = REQUEST_ID.exec(head)?.[1]?.trim() ?? '';
    const [kind, group = '', ...rest] = path.slice(1).split('/');
    if (kind === 'read') {
      const [framing, end, size, begins] = rest;
      const plan = { framing, end, size: Number(size), begins: Number(begins) } as Plan;
      const arrived = this.runs.filter((run) => run.startsWith(`${group}-order`)).length;
      const begin = (): void => writeDownload(socket, id, method, plan);
      const left = plan.begins - arrived;
      if (left <= 0) begin();
      else this.downloads.push({ group, begins: left, begin });
      return;
    }
    this.runs.push(id);
    const answer = (): void => {
      socket.write(`${answerHead(id, `Content-Length: ${id.length}\r\n`)}${id}`);
    };
    if (rest[0] === 'waits')
      this.unfinished.set(group, [...(this.unfinished.get(group) ?? []), answer]);
    else answer();
    const download = this.downloads.find((one) => one.group === group);
    if (!download) return;
    download.begins -= 1;
    if (download.begins === 0) setTimeout(download.begin, 20);
  }
}

/** A caller on one connection, with what it has received. */
interface Caller {
  readonly socket: Socket;
  readonly received: () => string;
  readonly isClosed: () => boolean;
  /** Ids of the orders that were answered, in order. */
  readonly answered: () => readonly string[];
}

describe('an answer that is passed on as it comes', () => {
  let harness: GatewayHarness;
  const upstream = new Upstream();
  let groupCount = 0;
  before(async () => {
    await new Promise<void>((resolve) => {
      upstream.server.listen(0, '127.0.0.1', resolve);
    });
    harness = await GatewayHarness.start(0, [
      routeOf('/read/', 'safe', { timeoutMs: 10_000, maxAttempts: 1 }),
      routeOf('/orders/', 'unsafe', { timeoutMs: 10_000, maxAttempts: 1 }),
    ]);
    harness.store.put('keyed.servers', 'i-0', {
      address: `127.0.0.1:${(upstream.server.address() as AddressInfo).port}`,
      info: { service: 'shop', version: 'v1', zone: 'takoradi', slots: 64 },
      status: { state: 'ready', sequence: 1, warmupLeftMs: 0 },
      born: 1,
    });
    await harness.until(() => harness.count('upstream-joined') === 1);
  });
  after(async () => {
    await harness.close();
    upstream.server.close();
  });

  const newGroup = (): string => {
    groupCount += 1;
    return `g${groupCount}`;
  };

  const downloadText = (plan: Plan, group: string, method = 'GET'): string =>
    `${method} ${pathOf(plan, group)} HTTP/1.1\r\nHost: shop.example\r\nX-Redwingmount-Request-Id: ${group}-download\r\n` +
    `X-Redwingmount-Deadline-Ms: ${plan.end === 'silent' ? SILENT_DEADLINE_MS : DEADLINE_MS}\r\n\r\n`;

  const idsOf = (group: string, count: number): readonly string[] =>
    Array.from({ length: count }, (_, i) => `${group}-order${i}`);

  const ordersText = (group: string, count: number, how: 'waits' | 'at-once'): string =>
    idsOf(group, count)
      .map(
        (id) =>
          `POST /orders/${group}/${how} HTTP/1.1\r\nHost: shop.example\r\nX-Redwingmount-Request-Id: ${id}\r\n` +
          `X-Redwingmount-Deadline-Ms: ${DEADLINE_MS}\r\nContent-Length: 0\r\n\r\n`,
      )
      .join('');

  const connect = (text: string): Caller => {
    const chunks: string[] = [];
    let closed = false;
    const socket = net.connect(harness.ports.callers, '127.0.0.1', () => socket.write(text));
    socket.setEncoding('latin1');
    socket.on('data', (chunk) => chunks.push(String(chunk)));
    socket.on('error', () => {});
    socket.on('close', () => {
      closed = true;
    });
    const received = (): string => chunks.join('');
    return {
      socket,
      received,
      isClosed: () => closed,
      answered: () =>
        [...received().matchAll(/^x-redwingmount-request-id: (\S*order\d+)\r$/gim)].map(
          ([, id]) => id!,
        ),
    };
  };

  const runsOf = (group: string): readonly string[] =>
    upstream.runs.filter((id) => id.startsWith(`${group}-`));

  const pause = (): Promise<void> =>
    new Promise((resolve) => {
      setTimeout(resolve, RUN_MS);
    });

  const statusesOf = ({ received }: Caller): readonly string[] =>
    [...received().matchAll(/HTTP\/1\.1 (\d+)/g)].map(([, status]) => status!);

  const whyGivenUp = (group: string): unknown =>
    harness.telemetry.events.find(
      ({ name, fields }) => name === 'answer-given-up' && fields.request === `${group}-download`,
    )?.fields.why;

  const broken = FRAMINGS.flatMap((framing) => ENDS.map((end) => ({ framing, end })));
  const failureOf = (end: Plan['end']): string => (end === 'silent' ? '504' : '502');

  /** Guards against orders that run and are cut off with the connection. */
  broken.forEach(({ framing, end }) => {
    const name = `framed by ${framing}, ${end}`;

    it(`and breaks off leaves no order at work behind it without its answer: ${name}`, async () => {
      const group = newGroup();
      const plan = { framing, end, size: STREAMED_BYTES, begins: 3 };
      const caller = connect(downloadText(plan, group) + ordersText(group, 3, 'waits'));
      await harness.until(() => caller.isClosed() || whyGivenUp(group) !== undefined);
      upstream.finish(group);
      await harness.until(() => caller.isClosed() || caller.answered().length === 3);
      expect(caller.answered().toSorted()).toEqual(runsOf(group).toSorted());
      expect(runsOf(group)).toEqual(idsOf(group, 3));
      expect(statusesOf(caller)).toEqual([failureOf(end), '200', '200', '200']);
      caller.socket.destroy();
    });

    it(`and breaks off leaves no order that was answered behind it without that: ${name}`, async () => {
      const group = newGroup();
      const plan = { framing, end, size: STREAMED_BYTES, begins: 3 };
      const caller = connect(downloadText(plan, group) + ordersText(group, 3, 'at-once'));
      await harness.until(() => caller.isClosed() || caller.answered().length === 3);
      expect(caller.answered().toSorted()).toEqual(runsOf(group).toSorted());
      expect(statusesOf(caller)).toEqual([failureOf(end), '200', '200', '200']);
      caller.socket.destroy();
    });

    it(`and breaks off leaves no order that waited behind it without its answer: ${name}`, async () => {
      const group = newGroup();
      const plan = { framing, end, size: STREAMED_BYTES, begins: 7 };
      const caller = connect(downloadText(plan, group) + ordersText(group, 12, 'at-once'));
      await harness.until(() => caller.isClosed() || caller.answered().length === 12);
      expect(caller.answered().toSorted()).toEqual(runsOf(group).toSorted());
      expect(caller.answered()).toEqual(idsOf(group, 12));
      caller.socket.destroy();
    });

    it(`and breaks off has no order run that came after it began: ${name}`, async () => {
      const group = newGroup();
      const caller = connect(
        downloadText({ framing, end, size: STREAMED_BYTES, begins: 0 }, group),
      );
      await harness.until(() => caller.received().includes(' 200 '));
      caller.socket.write(ordersText(group, 3, 'at-once'));
      await harness.until(() => caller.isClosed());
      await pause();
      expect(runsOf(group)).toEqual([]);
      expect(statusesOf(caller)).toEqual(['200']);
    });
  });

  /** Guards against downloads that fail, or arrive changed, for the sake of what is behind them. */
  FRAMINGS.forEach((framing) => {
    it(`and is whole is followed by the orders at work behind it: framed by ${framing}`, async () => {
      const group = newGroup();
      const plan = { framing, end: 'whole', size: STREAMED_BYTES, begins: 3 } as const;
      const caller = connect(downloadText(plan, group) + ordersText(group, 3, 'at-once'));
      await harness.until(() => caller.isClosed() || caller.answered().length === 3);
      expect(statusesOf(caller)).toEqual(['200', '200', '200', '200']);
      expect(caller.received().replace(/[^b]|(?<=[^b])b(?=[^b])/g, '').length).toEqual(
        STREAMED_BYTES,
      );
      expect(caller.answered()).toEqual(idsOf(group, 3));
      caller.socket.destroy();
    });

    it(`and is whole is followed by the orders that came after it began: framed by ${framing}`, async () => {
      const group = newGroup();
      const plan = { framing, end: 'whole', size: 2 * MAX_WHOLE_ANSWER_BYTES, begins: 0 } as const;
      const caller = connect(downloadText(plan, group));
      await harness.until(() => caller.received().includes(' 200 '));
      caller.socket.write(ordersText(group, 12, 'at-once'));
      await harness.until(() => caller.isClosed() || caller.answered().length === 12);
      expect(caller.answered()).toEqual(idsOf(group, 12));
      caller.socket.destroy();
    });

    /** Guards against a host that holds answers of any size. */
    it(`and is too large to hold gives way to the orders at work: framed by ${framing}`, async () => {
      const group = newGroup();
      const plan = { framing, end: 'whole', size: 2 * MAX_WHOLE_ANSWER_BYTES, begins: 3 } as const;
      const caller = connect(downloadText(plan, group) + ordersText(group, 3, 'at-once'));
      await harness.until(() => caller.isClosed() || caller.answered().length === 3);
      expect(statusesOf(caller)).toEqual(['502', '200', '200', '200']);
      expect(whyGivenUp(group)).toEqual('answer-too-large');
      caller.socket.destroy();
    });
  });

  /** Guards against an answer to HEAD that fails for the size of a body that it hasn't. */
  it('and has no body, as its request is HEAD, is followed by the orders at work', async () => {
    const group = newGroup();
    const size = 2 * MAX_WHOLE_ANSWER_BYTES;
    const plan = { framing: 'length', end: 'whole', size, begins: 3 } as const;
    const caller = connect(downloadText(plan, group, 'HEAD') + ordersText(group, 3, 'at-once'));
    await harness.until(() => caller.isClosed() || caller.answered().length === 3);
    expect(statusesOf(caller)).toEqual(['200', '200', '200', '200']);
    expect(caller.received().toLowerCase()).toInclude(`content-length: ${size}`);
    caller.socket.destroy();
  });
});
