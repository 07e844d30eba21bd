import { expect } from 'earl';
import { describe, it } from 'node:test';

import { PollTimes } from '../../../src/core/gateway';

describe('PollTimes', () => {
  it('bounds an arrival by the latest poll that is complete', () => {
    const polls = new PollTimes(0);
    expect(polls.onPolled(25)).toEqual(25);
    expect(polls.earliestArrival).toEqual(25);
  });

  it('tells how long nothing was polled', () => {
    const polls = new PollTimes(0);
    polls.onPolled(25);
    expect(polls.onPolled(1025)).toEqual(1000);
    expect(polls.earliestArrival).toEqual(1025);
  });

  it('keeps the latest of polls that overlap', () => {
    const polls = new PollTimes(0);
    polls.onPolled(50);
    expect(polls.onPolled(40)).toEqual(0);
    expect(polls.earliestArrival).toEqual(50);
  });
});
