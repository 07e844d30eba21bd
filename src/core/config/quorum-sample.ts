import { peerKey, type DataCentre, type NodeAddress } from '../../model';

import { hash32 } from './chain';

/** A node in the list of the platform. `leaving` says that it is shutting down. */
export interface ListedNode extends NodeAddress {
  readonly dataCentre: DataCentre;
  readonly leaving: boolean;
}

/** Maximum number of nodes that a node asks for a majority. */
export const QUORUM_SAMPLE_SIZE = 48;

const withRank = (salt: string) => (node: ListedNode) => ({
  node,
  rank: hash32(`${salt} ${peerKey(node)}`),
});

/**
 * Returns the nodes that `self` asks for a majority: all others, or in a large fleet a sample that
 * represents each data centre in proportion to its nodes.
 */
export const quorumSampleOf = (
  self: NodeAddress,
  listed: readonly ListedNode[],
): readonly ListedNode[] => {
  const own = peerKey(self);
  const others = listed.filter((node) => !node.leaving && peerKey(node) !== own);
  if (others.length <= QUORUM_SAMPLE_SIZE) return others;
  const ordered = others
    .map(withRank(own))
    .sort((a, b) => a.node.dataCentre.localeCompare(b.node.dataCentre) || a.rank - b.rank)
    .map(({ node }) => node);
  const step = ordered.length / QUORUM_SAMPLE_SIZE;
  return Array.from(
    { length: QUORUM_SAMPLE_SIZE },
    (_, index) => ordered[Math.floor(index * step)],
  ).filter((node): node is ListedNode => node !== undefined);
};

/** Returns the rank of `self`, from 0, in the pseudo-random order of the nodes under `salt`. */
export const rankOf = (self: NodeAddress, listed: readonly ListedNode[], salt: string): number => {
  const own = hash32(`${salt} ${peerKey(self)}`);
  const staying = listed.filter((node) => !node.leaving && peerKey(node) !== peerKey(self));
  return staying.map(withRank(salt)).filter(({ rank }) => rank < own).length;
};

/** Number of log readers; in a larger fleet the other nodes learn of new records from them. */
const LOG_READER_COUNT = 64;

/** Returns the log readers (the nodes that read the log at all times) other than `self`. */
export const logReaders = (
  self: NodeAddress,
  listed: readonly ListedNode[],
): readonly ListedNode[] => {
  const others = listed.filter((node) => peerKey(node) !== peerKey(self));
  if (listed.length <= LOG_READER_COUNT) return others;
  return others
    .filter((node) => !node.leaving)
    .map(withRank('log-reader'))
    .sort((a, b) => a.rank - b.rank)
    .slice(0, LOG_READER_COUNT)
    .map(({ node }) => node);
};

/** Returns whether `self` is a log reader. */
export const isLogReader = (self: NodeAddress, listed: readonly ListedNode[]): boolean =>
  listed.length <= LOG_READER_COUNT || rankOf(self, listed, 'log-reader') < LOG_READER_COUNT;
