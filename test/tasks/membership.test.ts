import { expect } from 'earl';
import { describe, it, mock } from 'node:test';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { Right } from 'purify-ts';

import { Membership } from '../../src/core';
import type { Member, NodeIdentity } from '../../src/model';
import type { PeerLink } from '../../src/ports';
import { HostListPoller, MembershipTask } from '../../src/tasks';
import { silentTelemetry } from '../fakes/telemetry';

const clock = { now: () => performance.now(), wall: () => 0 };

const identity = (i: number): NodeIdentity => ({
  incarnation: `run-${i}`,
  dataCentre: 'tarkwa',
  address: `10.0.0.${i}`,
  callerPort: 80,
  peerPort: 81,
});

const hostsUpTo = (count: number) =>
  Array.from({ length: count }, (_, i) => ({ ...identity(i + 1), leaving: false }));

const createTask = (
  i: number,
  send: PeerLink['send'],
  onChanged: (members: readonly Member[]) => void = () => {},
) => {
  const telemetry = silentTelemetry();
  const peers: PeerLink = { send, call: () => Promise.reject(new Error('not used')) };
  const membership = Membership.start(identity(i), clock.now(), xoroshiro128plus(i));
  const task = new MembershipTask({ membership, peers, clock, telemetry, onChanged });
  return { task, telemetry };
};

describe('MembershipTask', () => {
  it('discovers the listed nodes, and tells them that it is leaving', async () => {
    const tasks = new Map<string, MembershipTask>();
    const send: PeerLink['send'] = (to, { body }) => tasks.get(to.address)?.receive(body);
    const leavingSeen = new Promise<void>((resolve) => {
      const watchLeaver = (members: readonly Member[]): void => {
        const leaver = members.find(({ incarnation }) => incarnation === 'run-1');
        if (leaver?.state === 'leaving') resolve();
      };
      [1, 2, 3].forEach((i) => {
        tasks.set(identity(i).address, createTask(i, send, i === 3 ? watchLeaver : undefined).task);
      });
    });
    tasks.forEach((task) => task.updateHosts(hostsUpTo(3)));
    await tasks.get('10.0.0.1')?.leave();
    await leavingSeen;
    await Promise.all([...tasks.values()].map((task) => task.stop()));
  });

  it('counts malformed messages by reason', async () => {
    const { task, telemetry } = createTask(1, () => {});
    task.receive('nonsense');
    task.receive({ kind: 'gossip', from: 7 });
    await task.stop();
    expect([...telemetry.counts.keys()]).toEqual([
      'membership-message-refused not-a-message',
      'membership-message-refused bad-field',
    ]);
  });
});

describe('HostListPoller', () => {
  it('reads a long host list less often than a short one', async () => {
    mock.timers.enable({ apis: ['setTimeout'] });
    const readings = new Map<number, number>();
    const pollers = [3, 600].map((size) => {
      const read = async () => Right(hostsUpTo(size));
      const onRead = (): void => {
        readings.set(size, (readings.get(size) ?? 0) + 1);
      };
      return new HostListPoller({ hosts: { read }, clock, telemetry: silentTelemetry(), onRead });
    });
    await Promise.all(pollers.map((poller) => poller.start()));
    for (let second = 0; second < 61; second++) {
      mock.timers.tick(1000);
      await new Promise((resolve) => {
        setImmediate(resolve);
      });
    }
    pollers.forEach((poller) => poller.close());
    mock.timers.reset();
    expect(readings.get(3)).toEqual(62);
    expect(readings.get(600)).toEqual(2);
  });
});
