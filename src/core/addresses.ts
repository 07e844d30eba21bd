import type { Instant, Member, Millis, NodeAddress, WorkspaceName } from '../model';

import { hashOf, pairHash } from './hash';

/** Time in milliseconds for which a caller may cache an answer. */
const ANSWER_TTL_MS: Millis = 30_000;
const MAX_ADDRESS_COUNT = 6;

/** The node addresses for a caller, in order of preference. Sent to callers under these names. */
export interface AddressAnswer {
  readonly addresses: readonly NodeAddress[];
  /** Time until which the answer is current; a later use still works but may cost a hop. */
  readonly validUntil: Instant;
  /** Prefix of the idempotency keys that the first address is home to; empty if it issues none. */
  readonly keyPrefix: string;
}

/** The inputs for the selection of addresses. */
export interface AddressQuery {
  /** The owner and then the standbys of each shard of the service. */
  readonly owners: readonly (readonly Member[])[];
  readonly members: readonly Member[];
  readonly workspace: WorkspaceName;
}

const isEligible = ({ state }: Member): boolean => state === 'alive';

/** Orders nodes by rendezvous weight, so that workspaces are spread over them. */
const orderForWorkspace = (
  workspace: WorkspaceName,
  nodes: readonly Member[],
): readonly Member[] => {
  const hash = hashOf(workspace);
  const weigh = (node: Member): number => pairHash(hash, hashOf(node.incarnation));
  return [...nodes].sort((a, b) => weigh(b) - weigh(a));
};

/** Returns eligible members from the member list, starting at the workspace's hash. */
const othersFor = (workspace: WorkspaceName, members: readonly Member[]): readonly Member[] => {
  const start = members.length === 0 ? 0 : hashOf(workspace) % members.length;
  const ring = Array.from(
    { length: Math.min(members.length, MAX_ADDRESS_COUNT * 2) },
    (_, i) => members[(start + i) % members.length],
  );
  return ring.flatMap((member) => (member && isEligible(member) ? [member] : []));
};

/**
 * Returns the nodes for one workspace: the owners of the service's shards, which save a hop, then
 * the standbys, then others. Suspect, leaving and dead nodes are left out.
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

/** Builds the answer for the nodes; `keyPrefixOf` returns the key prefix of the first. */
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
