import type { Instant, Member, Millis, NodeAddress, WorkspaceName } from '../model';

import { hashOf, pairHash } from './hash';

/** How long a caller may keep an answer. */
const ANSWER_TTL_MS: Millis = 30_000;
const MAX_ADDRESS_COUNT = 6;

/** Which addresses a caller does best to use, the best first. */
export interface AddressAnswer {
  readonly addresses: readonly NodeAddress[];
  /** A later use still works, and may cost a hop. */
  readonly validUntil: Instant;
  /** The prefix of homed keys whose home is the first address; empty when there is none. */
  readonly keyPrefix: string;
}

/** What an answer is made from. */
export interface AddressQuery {
  /** For each shard of the service, its owner and then its standbys. */
  readonly owners: readonly (readonly Member[])[];
  readonly members: readonly Member[];
  readonly workspace: WorkspaceName;
}

const isEligible = ({ state }: Member): boolean => state === 'alive';

/** Orders nodes for one workspace, so that workspaces are spread over them. */
const orderForWorkspace = (
  workspace: WorkspaceName,
  nodes: readonly Member[],
): readonly Member[] => {
  const hash = hashOf(workspace);
  const weigh = (node: Member): number => pairHash(hash, hashOf(node.incarnation));
  return [...nodes].sort((a, b) => weigh(b) - weigh(a));
};

/** A run of eligible members that starts at the workspace's place among them. */
const othersFor = (workspace: WorkspaceName, members: readonly Member[]): readonly Member[] => {
  const start = members.length === 0 ? 0 : hashOf(workspace) % members.length;
  const ring = Array.from(
    { length: Math.min(members.length, MAX_ADDRESS_COUNT * 2) },
    (_, i) => members[(start + i) % members.length],
  );
  return ring.flatMap((member) => (member && isEligible(member) ? [member] : []));
};

/**
 * The nodes for one workspace: the service's owners, which save a request the hop to them, then
 * standbys, then others. Suspect, leaving and dead nodes are left out.
 */
export const addressesFor = ({ owners, members, workspace }: AddressQuery): readonly Member[] => {
  const ranks = [
    orderForWorkspace(
      workspace,
      owners.flatMap(([owner]) => owner ?? []),
    ),
    orderForWorkspace(
      workspace,
      owners.flatMap(([, ...standbys]) => standbys),
    ),
    othersFor(workspace, members),
  ];
  const byIncarnation = new Map(
    ranks
      .flat()
      .filter(isEligible)
      .map((node) => [node.incarnation, node]),
  );
  return [...byIncarnation.values()].slice(0, MAX_ADDRESS_COUNT);
};

/** The answer that is sent; `keyPrefixOf` issues the prefix of the first node's homed keys. */
export const addressAnswerOf = (
  nodes: readonly Member[],
  keyPrefixOf: (home: Member) => string,
  now: Instant,
): AddressAnswer => {
  const [first] = nodes;
  return {
    addresses: nodes.map(({ address, callerPort, peerPort }) => ({
      address,
      callerPort,
      peerPort,
    })),
    validUntil: now + ANSWER_TTL_MS,
    keyPrefix: first ? keyPrefixOf(first) : '',
  };
};
