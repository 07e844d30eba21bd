import { expect } from 'earl';
import { describe, it } from 'node:test';

import {
  Inquiry,
  peersToAsk,
  type InquiryStep,
  type ProofState,
} from '../../../src/core/freshness';
import { feedReadersOf } from '../../../src/core/gateway';
import type { Member } from '../../../src/model';

const stateAt = (at: number, age: number, more: Partial<ProofState> = {}): ProofState => ({
  at,
  age,
  revocationTime: 5000,
  readsAtStore: false,
  ...more,
});

/** Runs the round in progress to its end; returns its steps. */
const runRound = (inquiry: Inquiry, from: number, age: number): readonly InquiryStep[] => {
  const steps: InquiryStep[] = [];
  for (let at = from; ; at += 10) {
    const state = stateAt(at, age);
    const step = inquiry.nextStep(state);
    if (step) steps.push(step);
    if (inquiry.endRoundIfDue(state)) return steps;
  }
};

describe('an inquiry', () => {
  it('asks in the background once a second while requests arrive, and not without', () => {
    const inquiry = new Inquiry();
    let asked = 0;
    for (let at = 0; at < 10_000; at += 20) {
      const decision = inquiry.decide(stateAt(at, 1100));
      if (decision.kind !== 'serve') throw new Error('expected to serve');
      if (!decision.refresh) continue;
      asked += 1;
      inquiry.recordQuestion(asked, 'peer', at);
      inquiry.recordReply(asked);
    }
    expect(asked).toEqual(10);
  });

  it('asks again soon, and reads at the store in the end, if peers do not reply', () => {
    // Builds before this one don't know the question.
    const inquiry = new Inquiry();
    const refreshes: InquiryStep[] = [];
    for (let at = 0; at < 3000; at += 20) {
      const decision = inquiry.decide(stateAt(at, 1000 + at));
      if (decision.kind !== 'serve' || !decision.refresh) continue;
      refreshes.push(decision.refresh);
      inquiry.recordQuestion(refreshes.length, 'peer', at);
    }
    expect(refreshes.length >= 10).toEqual(true);
    expect(refreshes.filter(({ readStore }) => readStore).length).toEqual(2);
  });

  it('lets the first request wait, and refuses at once after a round without a proof', () => {
    const inquiry = new Inquiry();
    expect(inquiry.decide(stateAt(0, 4000))).toEqual({ kind: 'wait', beginRound: true });
    inquiry.beginRound(stateAt(0, 4000));
    expect(inquiry.decide(stateAt(5, 4000))).toEqual({ kind: 'wait', beginRound: false });
    const steps = runRound(inquiry, 0, 4000);
    expect(steps.map(({ readStore }) => readStore)).toEqual([false, false, true]);
    expect(inquiry.decide(stateAt(90, 4090))).toEqual({ kind: 'refuse', beginRound: false });
    expect(inquiry.decide(stateAt(500, 4500))).toEqual({ kind: 'refuse', beginRound: true });
    // Much later the host may be connected again.
    expect(inquiry.decide(stateAt(5000, 9000)).kind).toEqual('wait');
  });

  it('causes a bounded number of questions for a flood of requests without a proof', () => {
    const inquiry = new Inquiry();
    let peers = 0;
    let storeReads = 0;
    for (let at = 0; at < 10_000; at += 10) {
      const state = stateAt(at, 4000 + at);
      const decision = inquiry.decide(state);
      if (decision.kind !== 'serve' && decision.beginRound) inquiry.beginRound(state);
      const step = inquiry.nextStep(state);
      peers += step?.peers ?? 0;
      storeReads += step?.readStore ? 1 : 0;
      inquiry.endRoundIfDue(state);
    }
    expect(peers <= 6 * 21).toEqual(true);
    expect(storeReads <= 10).toEqual(true);
  });

  it('causes a bounded number of rounds for a flood of unknown keys', () => {
    const inquiry = new Inquiry();
    let rounds = 0;
    for (let at = 0; at < 10_000; at += 5) {
      const state = stateAt(at, 600);
      if (inquiry.shouldSeekNewKey(state)) {
        rounds += 1;
        inquiry.beginRound(state);
        inquiry.endRound();
      }
    }
    expect(rounds).toEqual(40);
    expect(inquiry.shouldSeekNewKey(stateAt(20_000, 200))).toEqual(false);
  });

  it('repeats a round in which the process stood still, as its replies came too late', () => {
    const inquiry = new Inquiry();
    inquiry.beginRound(stateAt(0, 4000));
    expect(inquiry.endRoundIfDue(stateAt(9000, 13_000))).toEqual(false);
    expect(inquiry.nextStep(stateAt(9000, 13_000))?.peers).toEqual(2);
    expect(inquiry.endRoundIfDue(stateAt(18_000, 22_000))).toEqual(true);
  });

  it('matches a reply with its question once', () => {
    const inquiry = new Inquiry();
    inquiry.recordQuestion(7, 'peer', 100);
    expect(inquiry.recordReply(8)).toEqual(undefined);
    expect(inquiry.recordReply(7)).toEqual(100);
    expect(inquiry.recordReply(7)).toEqual(undefined);
  });

  it('takes a peer that does not reply for silent for some seconds', () => {
    const inquiry = new Inquiry();
    inquiry.recordQuestion(7, 'peer', 100);
    inquiry.expire(200, 5000);
    expect(inquiry.isSilent('peer', 200)).toEqual(false);
    inquiry.expire(400, 5000);
    expect(inquiry.isSilent('peer', 400)).toEqual(true);
    expect(inquiry.isSilent('peer', 6000)).toEqual(false);
  });
});

describe('the peers to ask', () => {
  const members = Array.from({ length: 12 }, (_, i): Member => ({
    incarnation: `m${i}`,
    dataCentre: i < 8 ? 'here' : 'there',
    address: `10.0.0.${i}`,
    callerPort: 1,
    peerPort: 2,
    state: i === 7 ? 'dead' : 'alive',
  }));
  const choose = (silent: string): readonly string[] =>
    peersToAsk({
      self: 'm0',
      dataCentre: 'here',
      members,
      source: 'm3',
      isSilent: (peer) => peer === silent,
      random: () => 0.5,
    }).map(({ incarnation }) => incarnation);

  it('begin with the own reader and the readers, and end with other data centres', () => {
    const order = choose('');
    const readers = feedReadersOf(members, 'here').map(({ incarnation }) => incarnation);
    expect(order[0]).toEqual('m3');
    expect(order.slice(0, 4)).toInclude(...readers.filter((reader) => reader !== 'm0'));
    expect(order.slice(-5)).toEqual(['m8', 'm9', 'm10', 'm11', 'm7']);
    expect(order.includes('m0')).toEqual(false);
  });

  it('that were silent come after the others of the data centre', () => {
    expect(choose('m3').indexOf('m3')).toEqual(5);
  });
});
