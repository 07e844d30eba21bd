import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

import { encodeFrame, decodeFrame } from '../../src/adapters';
import {
  decodeMembershipMessage,
  Membership,
  type MembershipMessage,
  type MemberUpdate,
} from '../../src/core';
import { MembershipFleet } from '../../test/fakes/membership-fleet';

import { heapOf, microsOf, range, type Slope } from './measure';
import { CENTRES, memberAt } from './samples';

const SIZES = [24, 48, 96, 192, 384, 600];
const SETTLE = 3000;
const PAGE = 50;
const WINDOW = 10_000;
const REPLACEMENTS = 5;
const REPLACEMENT_SIZES = [48, 96, 192, 384];
const HOST_LISTS = [48, 192, 600];
const CODEC_UPDATES = [0, 4, 16];
const STATE_COPIES = 10;

/** What a window of a running fleet cost each node each second. */
interface Traffic {
  readonly messages: number;
  readonly bytes: number;
  /** Microseconds of a core in the decisions, the fake network included. */
  readonly micros: number;
}

/** The bytes on the peer link. */
export const frameOf = (body: MembershipMessage): Buffer =>
  encodeFrame({ t: 'msg', msg: { topic: 'membership', body } });

/** A fleet whose nodes know each other. */
export const settledFleet = (size: number, seed = 1): MembershipFleet => {
  const fleet = new MembershipFleet(seed, CENTRES);
  range(size).forEach((place) => fleet.start(place));
  fleet.introduceAll();
  fleet.runUntil(SETTLE);
  return fleet;
};

/** The traffic of a window; encoding is left out of the time. */
export const trafficOf = (fleet: MembershipFleet, size: number, length: number): Traffic => {
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
    messages: sent.length / nodeSeconds,
    bytes: bytes / nodeSeconds,
    micros: micros / nodeSeconds,
  };
};

const updates = (first: number, count: number): readonly MemberUpdate[] =>
  range(count).map((i) => ({ node: memberAt(first + i), state: 'alive', refutation: 0 }));

const codecMicros = (count: number): number => {
  const body = { kind: 'gossip', from: 'x', updates: updates(0, count) } as const;
  return microsOf(() => {
    decodeFrame(frameOf(body)).map(
      (frame) => frame.t === 'msg' && decodeMembershipMessage(frame.msg.body),
    );
  }, 5000);
};

const knownTo = (size: number): Membership => {
  const membership = Membership.start(memberAt(0), 0, xoroshiro128plus(1));
  range(Math.ceil(size / PAGE)).forEach((page) => {
    const known = updates(page * PAGE, PAGE);
    const message = { kind: 'state', from: 'x', replyWanted: false, updates: known } as const;
    membership.apply({ kind: 'message', message }, 1);
  });
  membership.apply({ kind: 'tick' }, 2);
  return membership;
};

const stateBytes = (size: number): number =>
  heapOf(() => range(STATE_COPIES).map(() => knownTo(size))) / STATE_COPIES;

const hostListBytes = (size: number): number => {
  const hosts = range(size).map((i) => {
    const { address, callerPort, peerPort, dataCentre } = memberAt(i);
    return { address, callerPort, peerPort, dataCentre, leaving: false };
  });
  return JSON.stringify({ hosts }).length;
};

/** Bytes that one replaced host costs each node, over the quiet traffic. */
const replacementBytes = (size: number, quiet: number): number => {
  const fleet = settledFleet(size, 2);
  const spacing = 4000;
  range(REPLACEMENTS).forEach((i) => {
    fleet.at(fleet.now + i * spacing + 1, () => fleet.kill(i));
    fleet.at(fleet.now + i * spacing + 2000, () => fleet.start(i));
  });
  const length = (REPLACEMENTS + 3) * spacing;
  const busy = trafficOf(fleet, size, length);
  return ((busy.bytes - quiet) * length) / 1000 / REPLACEMENTS;
};

export const membershipSlopes = (): readonly Slope[] => {
  const traffic = SIZES.map((size) => ({ size, ...trafficOf(settledFleet(size), size, WINDOW) }));
  const quiet = new Map(traffic.map(({ size, bytes }) => [size, bytes]));
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
      traffic.map(({ size, messages }) => [size, messages]),
    ),
    slope(
      'bytes sent',
      'B/s',
      traffic.map(({ size, bytes }) => [size, bytes]),
    ),
    slope(
      'decisions, fake network included',
      'us/s',
      traffic.map(({ size, micros }) => [size, micros]),
    ),
    slope(
      'one message encoded, decoded and checked',
      'us',
      CODEC_UPDATES.map((count) => [count, codecMicros(count)]),
      'updates in it',
    ),
    slope(
      'one reading of the host list',
      'B',
      HOST_LISTS.map((size) => [size, hostListBytes(size)]),
    ),
    slope(
      'state',
      'B',
      [100, 300, 600].map((size) => [size, stateBytes(size)]),
    ),
    slope(
      'bytes sent by each node for one replaced host',
      'B',
      REPLACEMENT_SIZES.map((size) => [size, replacementBytes(size, quiet.get(size) ?? 0)]),
    ),
  ];
};
