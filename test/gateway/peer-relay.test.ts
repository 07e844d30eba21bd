import { expect } from 'earl';
import { createServer, type RequestListener, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { afterEach, describe, it } from 'node:test';

import { headerConventions, parseSettings } from '../../platform';
import { systemClock } from '../../src/adapters';
import { FleetRetryBudget } from '../../src/core/gateway';
import { RequestRetries } from '../../src/gateway/deciding';
import { PeerRelay, type RelayResult } from '../../src/gateway/sending/peer-relay';
import { decodeRelayTerms, RELAY_HEADERS } from '../../src/gateway/request/relay-headers';
import type { Member } from '../../src/model';

import { connectionContext, SOME_CALLER, recordingTelemetry, settingsText } from './harness';

const breaksOff: RequestListener = (req) => req.socket.destroy();
const refuses =
  (why: string): RequestListener =>
  (_req, res) => {
    res.writeHead(503, { [RELAY_HEADERS.outcome]: `refused ${why}`, 'retry-after': '0.5' }).end();
  };
const isOfAnEarlierBuild: RequestListener = (_req, res) => {
  res.writeHead(404).end();
};
const answers: RequestListener = (req, res) => {
  const maxRuns = String(decodeRelayTerms(req.headers)?.maxRuns);
  res.writeHead(200, { [RELAY_HEADERS.outcome]: 'answer' }).end(maxRuns);
};

describe('the relay of a request to peers', () => {
  let servers: Server[] = [];
  afterEach(() => {
    servers.forEach((server) => server.close().closeAllConnections());
    servers = [];
  });

  const relay = async (
    peers: readonly RequestListener[],
    idempotent: boolean,
    isEverywhere = true,
    mayOffer: (isRepeat: boolean) => boolean = () => true,
  ): Promise<RelayResult> => {
    const members: Member[] = [];
    for (const listener of peers) {
      const server = createServer(listener);
      servers.push(server);
      await new Promise<void>((resolve) => {
        server.listen(0, '127.0.0.1', resolve);
      });
      const { port } = server.address() as AddressInfo;
      members.push({
        incarnation: `n${port}`,
        dataCentre: 'takoradi',
        address: '127.0.0.1',
        callerPort: 1,
        peerPort: port,
        state: 'alive',
      });
    }
    const settings = parseSettings('test', settingsText(9000, 9000)).unsafeCoerce();
    const telemetry = recordingTelemetry();
    const peerRelay = new PeerRelay(
      { settings, clock: systemClock, telemetry, headerConventions, random: Math.random },
      connectionContext(headerConventions.requestId, systemClock),
      {
        peersFor: () => members,
        config: () => ({ version: 3, isEverywhere }),
        onLaterConfig: () => {},
        onAnswerHead: () => {},
      },
    );
    const { signal } = new AbortController();
    const deadline = systemClock.now() + 1000;
    const request = {
      id: 'r',
      method: 'GET',
      target: '/x',
      host: 'shop.example',
      rawHeaders: ['Host', 'shop.example'],
      body: Buffer.alloc(0),
      arrivedAt: systemClock.now(),
      readAt: systemClock.now(),
      deadline,
      signal,
      caller: SOME_CALLER.caller,
    };
    const result = await peerRelay.run({
      request,
      service: 'shop',
      idempotent,
      maxRuns: 2,
      deadline,
      signal,
      mayOffer,
    });
    peerRelay.close();
    return result;
  };

  const bodyOf = (result: RelayResult): string =>
    result.kind === 'replied' &&
    result.reply.kind === 'answer' &&
    result.reply.body.kind === 'whole'
      ? result.reply.body.bytes.toString()
      : result.kind;

  it('goes on to the next peer where one has not run it', async () => {
    const declining = [refuses('path-cut'), isOfAnEarlierBuild];
    expect(bodyOf(await relay([...declining, answers], false))).toEqual('2');
    expect(bodyOf(await relay([refuses('keys-stale'), answers], false))).toEqual('2');
    const refused = await relay([...declining, refuses('no-config')], false);
    expect(refused.kind === 'replied' && refused.reply.kind).toEqual('refused');
  });

  it('does not send again what can not be repeated once a peer may have run it', async () => {
    expect((await relay([breaksOff, answers], false)).kind).toEqual('unknown');
  });

  it('counts a run that may have been when it sends again what can be repeated', async () => {
    expect(bodyOf(await relay([breaksOff, answers], true))).toEqual('1');
  });

  it('does not call a request refused that an earlier peer may have run', async () => {
    expect((await relay([breaksOff, refuses('no-room')], true)).kind).toEqual('unknown');
    expect((await relay([breaksOff, refuses('path-cut')], true)).kind).toEqual('unknown');
    expect((await relay([breaksOff, breaksOff, answers], true)).kind).toEqual('unknown');
  });

  /** Guards against an earlier build that routes by a configuration from before this one. */
  it('offers nothing to an earlier build before all have the configuration', async () => {
    const earlierBuild: RequestListener = (req, res) =>
      (req.headers[RELAY_HEADERS.maxRuns] ? answers : isOfAnEarlierBuild)(req, res);
    expect(bodyOf(await relay([earlierBuild], true, true))).toEqual('2');
    expect(bodyOf(await relay([earlierBuild], true, false))).toEqual('replied');
  });

  /** Guards against relayed requests that count at two gateways, and repeats that count at none. */
  it('counts a request once in the fleet, and charges each repeat to the budget', async () => {
    const bounds = { repeatRatio: 1, repeatBase: 0, repeatWindow: 10_000 };
    const createBudget = (): FleetRetryBudget =>
      new FleetRetryBudget(
        () => bounds,
        () => 0,
        0,
      );
    const now = systemClock.now();
    const [budget, ...peerBudgets] = [createBudget(), createBudget(), createBudget()];
    const telemetry = recordingTelemetry();
    const scheduler = { name: 'shop', retryBudget: budget };
    const runs = peerBudgets.map((peerBudget): RequestListener => (req, res) => {
      peerBudget.recordRequest(now);
      breaksOff(req, res);
    });
    const relayOnce = async (): Promise<void> => {
      const retries = new RequestRetries({ clock: systemClock, telemetry }, scheduler, 0);
      retries.recordRequest();
      await relay(runs, true, true, (isRepeat) => retries.mayOffer(isRepeat));
    };
    const credits = (): readonly number[] =>
      [budget, ...peerBudgets].map((each) => each.standing(systemClock.now()).credit);

    await relayOnce();
    expect(credits()).toEqual([0, 1, 0]);
    for (let i = 0; i < 6; i++) budget.recordRequest(now);
    await relayOnce();
    // The repeat was charged, and is counted as a request at the second peer.
    expect(credits()).toEqual([5, 2, 1]);
    expect(budget.standing(systemClock.now()).left).toBeLessThan(0.475 * 6);
  });

  it('says that it is alone where no peer is known', async () => {
    expect((await relay([], true)).kind).toEqual('alone');
  });
});
