import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

import { encodeFrame, decodeFrame } from '../../src/adapters';
import {
  decodeMembershipMessage,
  Membership,
  type MembershipMessage,
  type MemberUpdate,
} from '../../src/core';
import { MembershipFleet } from '../../test/fakes/membership-fleet';

import { retainedBytes, medianMicros, range, type Slope } from './measure';
import { DATA_CENTRES, memberAt } from './samples';

const FLEET_SIZES = [24, 48, 96, 192, 384, 600];
/** Time after introduction in which the fleet's membership traffic settles. */
const SETTLE_MS = 3000;
const UPDATES_PER_MESSAGE = 50;
const TRAFFIC_WINDOW_MS = 10_000;
const REPLACEMENT_COUNT = 5;
const REPLACEMENT_FLEET_SIZES = [48, 96, 192, 384];
const HOST_LIST_LENGTHS = [48, 192, 600];
const CODEC_UPDATE_COUNTS = [0, 4, 16];
/** Copies whose memory is averaged. */
const STATE_COPY_COUNT = 10;

/** Costs of membership to each node each second. */
interface Traffic {
  readonly messagesPerSecond: number;
  readonly bytesPerSecond: number;
  /** Processor time in microseconds, the fake network included, encoding excluded. */
  readonly microsPerSecond: number;
}

/** Encodes a message as a frame of a peer link. */
export const frameOf = (body: MembershipMessage): Buffer =>
  encodeFrame({ t: 'msg', msg: { topic: 'membership', body } });

/** Returns a running fleet of nodes that know each other. */
export const settledFleet = (size: number, seed = 1): MembershipFleet => {
  const fleet = new MembershipFleet(seed, DATA_CENTRES);
  range(size).forEach((nodeIndex) => fleet.start(nodeIndex));
  fleet.introduceAll();
  fleet.runUntil(SETTLE_MS);
  return fleet;
};

/** Runs a fleet for `length` milliseconds and returns its costs. */
export const measureTraffic = (fleet: MembershipFleet, size: number, length: number): Traffic => {
  const sent: MembershipMessage[] = [];
  const observed = fleet;
  observed.onSend = (_, message) => sent.push(message);
  const start = performance.now();
  fleet.runUntil(fleet.now + length);
  const micros = (performance.now() - start) * 1000;
  observed.onSend = undefined;
  const bytes = sent.reduce((sum, message) => sum + frameOf(message).length, 0);
  const nodeSeconds = (size * length) / 1000;
  return {
    messagesPerSecond: sent.length / nodeSeconds,
    bytesPerSecond: bytes / nodeSeconds,
    microsPerSecond: micros / nodeSeconds,
  };
};

/** Returns updates that report `count` members alive, from number `first` on. */
const updates = (first: number, count: number): readonly MemberUpdate[] =>
  range(count).map((i) => ({ node: memberAt(first + i), state: 'alive', refutation: 0 }));

/** Returns the time to encode, decode and check one message with `count` updates. */
const codecMicros = (count: number): number => {
  const body = { kind: 'gossip', from: 'x', updates: updates(0, count) } as const;
  return medianMicros(() => {
    decodeFrame(frameOf(body)).map(
      (frame) => frame.t === 'msg' && decodeMembershipMessage(frame.msg.body),
    );
  }, 5000);
};

/** Returns the membership of a node that knows `size` members. */
const membershipOf = (size: number): Membership => {
  const membership = Membership.start(memberAt(0), 0, xoroshiro128plus(1));
  range(Math.ceil(size / UPDATES_PER_MESSAGE)).forEach((page) => {
    const known = updates(page * UPDATES_PER_MESSAGE, UPDATES_PER_MESSAGE);
    const message = { kind: 'state', from: 'x', replyWanted: false, updates: known } as const;
    membership.apply({ kind: 'message', message }, 1);
  });
  membership.apply({ kind: 'tick' }, 2);
  return membership;
};

const stateBytes = (size: number): number =>
  retainedBytes(() => range(STATE_COPY_COUNT).map(() => membershipOf(size))) / STATE_COPY_COUNT;

/** Returns the bytes of the host list's answer for `size` hosts. */
const hostListBytes = (size: number): number => {
  const hosts = range(size).map((i) => {
    const { address, callerPort, peerPort, dataCentre } = memberAt(i);
    return { address, callerPort, peerPort, dataCentre, leaving: false };
  });
  return JSON.stringify({ hosts }).length;
};

/** Returns the bytes that each node sends for one replaced host, over `idle` bytes a second. */
const replacementBytes = (size: number, idle: number): number => {
  const fleet = settledFleet(size, 2);
  const intervalMs = 4000;
  range(REPLACEMENT_COUNT).forEach((i) => {
    fleet.at(fleet.now + i * intervalMs + 1, () => fleet.kill(i));
    fleet.at(fleet.now + i * intervalMs + 2000, () => fleet.start(i));
  });
  const length = (REPLACEMENT_COUNT + 3) * intervalMs;
  const traffic = measureTraffic(fleet, size, length);
  return ((traffic.bytesPerSecond - idle) * length) / 1000 / REPLACEMENT_COUNT;
};

/** Measures membership in a fleet without failures, and when hosts are replaced. */
export const membershipSlopes = (): readonly Slope[] => {
  const traffic = FLEET_SIZES.map((size) => ({
    size,
    ...measureTraffic(settledFleet(size), size, TRAFFIC_WINDOW_MS),
  }));
  const idleBytesBySize = new Map(
    traffic.map(({ size, bytesPerSecond }) => [size, bytesPerSecond]),
  );
  const slope = (what: string, unit: string, points: Slope['points'], per = 'nodes'): Slope => ({
    role: 'member',
    what,
    unit,
    per,
    points,
  });
  return [
    slope(
      'messages sent',
      '/s',
      traffic.map(({ size, messagesPerSecond }) => [size, messagesPerSecond]),
    ),
    slope(
      'bytes sent',
      'B/s',
      traffic.map(({ size, bytesPerSecond }) => [size, bytesPerSecond]),
    ),
    slope(
      'decisions, fake network included',
      'us/s',
      traffic.map(({ size, microsPerSecond }) => [size, microsPerSecond]),
    ),
    slope(
      'one message encoded, decoded and checked',
      'us',
      CODEC_UPDATE_COUNTS.map((count) => [count, codecMicros(count)]),
      'updates in it',
    ),
    slope(
      'one reading of the host list',
      'B',
      HOST_LIST_LENGTHS.map((size) => [size, hostListBytes(size)]),
    ),
    slope(
      'state',
      'B',
      [100, 300, 600].map((size) => [size, stateBytes(size)]),
    ),
    slope(
      'bytes sent by each node for one replaced host',
      'B',
      REPLACEMENT_FLEET_SIZES.map((size) => [
        size,
        replacementBytes(size, idleBytesBySize.get(size) ?? 0),
      ]),
    ),
  ];
};
