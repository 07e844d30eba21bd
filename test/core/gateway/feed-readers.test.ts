import { expect } from 'earl';
import { describe, it } from 'node:test';

import { feedReadersOf, feedSourceOf } from '../../../src/core/gateway';
import type { Member } from '../../../src/model';

const member = (i: number, capacity?: number): Member => ({
  incarnation: `n${i}`,
  dataCentre: 'takoradi',
  address: `10.0.0.${i}`,
  callerPort: 1,
  peerPort: 2,
  state: 'alive',
  ...(capacity === undefined ? {} : { capacity }),
});

const incarnationsOf = (members: readonly Member[]): readonly string[] =>
  members.map(({ incarnation }) => incarnation).sort();

describe('the readers of the feeds', () => {
  it('are the hosts with the largest links, as each sends the pages to dozens of others', () => {
    const small = Array.from({ length: 40 }, (_, i) => member(i, 58));
    const members = [...small, member(50, 293), member(51, 293)];
    expect(incarnationsOf(feedReadersOf(members, 'takoradi'))).toEqual(['n50', 'n51']);
    expect(feedSourceOf('n3', 'takoradi', members).kind).toEqual('readers');
  });

  it('are the same for all hosts, in whatever order they know the members', () => {
    const members = Array.from({ length: 40 }, (_, i) => member(i, i < 5 ? 100 : 58));
    const reversed = members.toReversed();
    expect(incarnationsOf(feedReadersOf(members, 'takoradi'))).toEqual(
      incarnationsOf(feedReadersOf(reversed, 'takoradi')),
    );
  });

  it('are drawn among all hosts where no capacity is known', () => {
    const members = Array.from({ length: 10 }, (_, i) => member(i));
    expect(feedReadersOf(members, 'takoradi').length).toEqual(2);
  });
});
