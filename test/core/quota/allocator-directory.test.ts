import { expect } from 'earl';
import { describe, it } from 'node:test';

import { AllocatorDirectory, quotaTermsOf, type QuotaMember } from '../../../src/core/quota';
import { DEFAULT_BOUNDS, type MemberState } from '../../../src/model';

const WAIT = 5000;
const TERMS = quotaTermsOf(['a', 'b', 'c'], { ...DEFAULT_BOUNDS, keyRevocationTime: WAIT });
const READY = 1000;

const memberOf = (index: number, state: MemberState = 'alive', run = 1): QuotaMember => ({
  incarnation: `n${index}-${run}`,
  dataCentre: ['a', 'b', 'c'][index % 3] ?? 'a',
  address: `10.0.0.${index}`,
  peerPort: 7000,
  state,
});

const MEMBERS = Array.from({ length: 9 }, (_, i) => memberOf(i));

/** Returns the directory of host 1 and the member that it holds for partition 0's allocator. */
const create = (): { directory: AllocatorDirectory; first: QuotaMember } => {
  const directory = new AllocatorDirectory('n1-1', TERMS, 0);
  directory.onMembers(MEMBERS, 0);
  directory.onContact(READY);
  const view = directory.allocatorOf(0, READY);
  if (view.kind !== 'peer') throw new Error('no allocator in the data centre');
  return { directory, first: view.member };
};

const withState = (of: QuotaMember, state: MemberState): readonly QuotaMember[] =>
  MEMBERS.map((member) => (member === of ? { ...member, state } : member));

describe('who is the allocator of a partition', () => {
  it('is a member of its data centre', () => {
    expect(create().first.dataCentre).toEqual('a');
  });

  it('is the next one at once when it leaves', () => {
    const { directory, first } = create();
    directory.onMembers(withState(first, 'leaving'), READY);
    directory.onMembers(withState(first, 'dead'), READY + 100);
    directory.onContact(READY + 100);
    expect(directory.allocatorOf(0, READY + 100).kind).toEqual('peer');
  });

  it('is nobody until a lost one has stopped by itself', () => {
    const { directory, first } = create();
    directory.onMembers(withState(first, 'dead'), READY);
    expect(directory.allocatorOf(0, READY + WAIT - 1).kind).toEqual('lost');
    expect(directory.allocatorOf(0, READY + WAIT).kind).toEqual('peer');
  });

  it('is the same host at once when its process was restarted', () => {
    const { directory, first } = create();
    const index = MEMBERS.indexOf(first);
    directory.onMembers([...withState(first, 'dead'), memberOf(index, 'alive', 2)], READY);
    const view = directory.allocatorOf(0, READY);
    expect(view.kind === 'peer' && view.member.incarnation).toEqual(`n${index}-2`);
  });

  it('is no other for a minute where most members are lost', () => {
    const { directory } = create();
    const alone = MEMBERS.map((member, i) => (i === 1 ? member : memberOf(i, 'dead')));
    directory.onMembers(alone, READY);
    expect(directory.isCutOff(READY + WAIT)).toEqual(true);
    [0, 1, 2].forEach((partition) =>
      expect(directory.allocatorOf(partition, READY + 59_000).kind === 'self').toEqual(false),
    );
    [0, 1, 2].forEach((partition) =>
      expect(directory.allocatorOf(partition, READY + 60_000).kind).toEqual('self'),
    );
  });

  it('is not a host that hears from nobody', () => {
    const directory = new AllocatorDirectory('n0-1', TERMS, 0);
    directory.onMembers([memberOf(0), memberOf(1)], 0);
    directory.onContact(READY);
    expect(directory.allocatorOf(0, READY).kind).toEqual('self');
    expect(directory.allocatorOf(0, READY + 1600).kind).toEqual('undecided');
    // It comes back, and claims the partition before it grants.
    directory.onContact(READY + 2000);
    expect(directory.allocatorOf(0, READY + 2000).kind).toEqual('claiming');
    expect(directory.allocatorOf(0, READY + 2900).kind).toEqual('self');
  });
});
