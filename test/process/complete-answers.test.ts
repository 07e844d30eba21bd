import { expect } from 'earl';
import { describe, it } from 'node:test';

import { send, startFleet } from './fleet';
import { withHarness } from './harness';

const MEBIBYTE_BYTES = 1024 * 1024;
const READ_COUNT = 40;

const UPSTREAM_SETTINGS = ['a-1', 'a-2', 'a-3'].map((id) => ({ id, service: 'archives' }));

/** The part of the upstream stand-in's answer that this test reads. */
interface Echo {
  readonly path: string;
}

describe('each caller gets the complete answer to its own request', () => {
  it('when upstreams send answers to other requests, or truncated answers', () =>
    withHarness(async (harness) => {
      const { nodes, upstreams } = await startFleet(harness, {
        nodes: ['takoradi', 'sekondi'],
        upstreams: UPSTREAM_SETTINGS,
      });
      await upstreams[0]?.control({ wrong: true });
      await upstreams[1]?.control({ truncateRatio: 0.5 });
      const paths = Array.from({ length: READ_COUNT }, (_, i) => `/archives/${i}`);
      for (const path of paths) {
        const [node] = nodes;
        const reply = await send(`${node?.callerUrl}${path}`);
        if (reply.outcome !== 'done') continue;
        expect(reply.broken).toEqual(false);
        expect((JSON.parse(reply.body.toString()) as Echo).path).toEqual(path);
      }
    }));

  it('when an upstream truncates a download that can resume at another one', () =>
    withHarness(async (harness) => {
      const { nodes, upstreams } = await startFleet(harness, {
        nodes: ['takoradi', 'sekondi'],
        upstreams: UPSTREAM_SETTINGS,
      });
      const bytes = 24 * MEBIBYTE_BYTES;
      const direct = await send(`${upstreams[2]?.url}/bundle/${bytes}`);
      await Promise.all(upstreams.slice(0, 2).map((one) => one.control({ truncateRatio: 1 })));
      for (const node of nodes) {
        const reply = await send(`${node.callerUrl}/archives/bundle/${bytes}`);
        const isComplete = !reply.broken && reply.body.equals(direct.body);
        // A download that ran out of retries must look broken to the caller.
        expect(isComplete || reply.broken).toEqual(true);
        expect(reply.broken || reply.body.length === bytes).toEqual(true);
      }
    }));

  it('when the owner is killed during a download', () =>
    withHarness(async (harness) => {
      const { nodes, upstreams } = await startFleet(harness, {
        nodes: ['takoradi', 'sekondi', 'tarkwa'],
        upstreams: UPSTREAM_SETTINGS,
      });
      const bytes = 64 * MEBIBYTE_BYTES;
      const direct = await send(`${upstreams[0]?.url}/bundle/${bytes}`);
      const replies = nodes.map((node) => send(`${node.callerUrl}/archives/bundle/${bytes}`));
      await nodes[0]?.process.kill();
      const [, ...others] = await Promise.all(replies);
      others.forEach((reply) => {
        expect(reply.broken).toEqual(false);
        expect(reply.body.equals(direct.body)).toEqual(true);
      });
    }));
});
