import { expect } from 'earl';
import { createServer, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { afterEach, describe, it } from 'node:test';

import { StoreClient } from '../../platform';
import { systemClock } from '../../src/adapters';

import { block } from '../gateway/callers-while-blocked';
import { recordingTelemetry } from '../gateway/harness';
import { hostMemory } from '../gateway/host-memory';

const CHUNK_COUNT = 6;
const CHUNK_GAP_MS = 60;
/** Time in milliseconds for the first bytes; less than the whole answer takes. */
const TIMEOUT_MS = 150;

/** Size in bytes of an answer that is large beside what may be held. */
const ANSWER_BYTES = 400_000;

const newestOf = (keys: readonly string[], hasMore: boolean): string =>
  JSON.stringify({
    items: keys.map((key) => ({ key, value: Buffer.from('x').toString('base64'), offset: 0 })),
    hasMore,
    end: keys.length,
  });

describe('a read at the store', () => {
  let server: Server;
  let client: StoreClient;
  afterEach(() => {
    client.close();
    server.close();
    server.closeAllConnections();
  });

  const readAgain = async (): Promise<string> => {
    const page = await client.readNewest('keyed.op', systemClock.now() + TIMEOUT_MS);
    return page.caseOf({
      Left: (fault) => ('detail' in fault ? fault.detail : fault.kind),
      Right: ({ items }) => items.map(({ key }) => key).join(),
    });
  };

  const read = async (
    answer: (res: ServerResponse, url: string) => void,
    memory = hostMemory(),
  ): Promise<string> => {
    server = createServer((req, res) => answer(res, req.url ?? ''));
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const { port } = server.address() as AddressInfo;
    client = new StoreClient({ address: '127.0.0.1', port }, systemClock, memory);
    return readAgain();
  };

  /** Guards against a large page that is never read, as its link is slow. */
  it('goes on while its bytes arrive', async () => {
    const text = newestOf(['a', 'b'], false);
    const size = Math.ceil(text.length / CHUNK_COUNT);
    const result = await read((res) => {
      const send = (from: number): void => {
        res.write(text.slice(from, from + size));
        if (from + size >= text.length) res.end();
        else setTimeout(() => send(from + size), CHUNK_GAP_MS);
      };
      send(0);
    });
    expect(result).toEqual('a,b');
  });

  /** Guards against an answer that counts as missing, as a busy host hasn't read it yet. */
  it('takes an answer that has arrived in time and is read late', async () => {
    const result = await read((res) => {
      res.end(newestOf(['a'], false));
      block(2 * TIMEOUT_MS);
    });
    expect(result).toEqual('a');
  });

  /** Guards against a list of many pages of which each shortens the time for the next. */
  it('allows each page its time', async () => {
    const keys = ['a', 'b', 'c', 'd'];
    const result = await read((res, url) => {
      const at = keys.indexOf(new URL(url, 'http://h').searchParams.get('after') ?? '') + 1;
      setTimeout(
        () => res.end(newestOf(keys.slice(at, at + 1), at + 1 < keys.length)),
        CHUNK_GAP_MS,
      );
    });
    expect(result).toEqual('a,b,c,d');
  });

  it('ends at its deadline without an answer', async () => {
    expect(await read(() => {})).toEqual('store did not answer before the deadline');
  });

  /** Guards against an answer that fills the memory that callers need. */
  it('fails alone when memory is short', async () => {
    const telemetry = recordingTelemetry();
    const memory = hostMemory(ANSWER_BYTES / 2, telemetry);
    let isLarge = true;
    const result = await read((res) => {
      if (isLarge) res.write(Buffer.alloc(ANSWER_BYTES, ' '));
      else res.end(newestOf(['a'], false));
    }, memory);
    expect(result).toEqual('memory is short');
    const given = telemetry.events.filter(({ name }) => name === 'memory-given-up');
    expect(given.map(({ fields }) => [fields.peer, fields.why])).toEqual([['store', 'limit']]);
    isLarge = false;
    expect(await readAgain()).toEqual('a');
    expect(memory.total).toEqual(0);
  });

  it('counts what has arrived of its answer, and no more once it is read', async () => {
    const memory = hostMemory();
    const counted: number[] = [];
    const text = newestOf(['a'], false).padStart(ANSWER_BYTES, ' ');
    const result = await read((res) => {
      res.write(text.slice(0, ANSWER_BYTES / 2));
      setTimeout(() => {
        counted.push(memory.total);
        res.end(text.slice(ANSWER_BYTES / 2));
      }, CHUNK_GAP_MS);
    }, memory);
    expect(result).toEqual('a');
    expect(counted.every((bytes) => bytes >= ANSWER_BYTES / 2)).toEqual(true);
    expect(counted.every((bytes) => bytes <= 1.25 * ANSWER_BYTES)).toEqual(true);
    expect(memory.total).toEqual(0);
  });
});
