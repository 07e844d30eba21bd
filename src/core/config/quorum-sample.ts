import { peerKey, type DataCentre, type NodeAddress } from '../../model';

import { hash32 } from './chain';

/** A node as the platform lists it. */
export interface ListedNode extends NodeAddress {
  readonly dataCentre: DataCentre;
  readonly leaving: boolean;
}

/** The most nodes that a node asks when it counts a majority. */
export const QUORUM_SAMPLE_SIZE = 48;

const byRank = (salt: string) => (node: ListedNode) => ({
  node,
  rank: hash32(`${salt} ${peerKey(node)}`),
});

/**
 * The nodes that `self` asks when it counts a majority: all others, or in a large fleet a sample
 * that has each data centre in proportion.
 */
export const quorumSampleOf = (
  self: NodeAddress,
  listed: readonly ListedNode[],
): readonly ListedNode[] => {
  const own = peerKey(self);
  const others = listed.filter((node) => !node.leaving && peerKey(node) !== own);
  if (others.length <= QUORUM_SAMPLE_SIZE) return others;
  const ordered = others
    .map(byRank(own))
    .sort((a, b) => a.node.dataCentre.localeCompare(b.node.dataCentre) || a.rank - b.rank)
    .map(({ node }) => node);
  const step = ordered.length / QUORUM_SAMPLE_SIZE;
  return Array.from(
    { length: QUORUM_SAMPLE_SIZE },
    (_, index) => ordered[Math.floor(index * step)],
  ).filter((node): node is ListedNode => node !== undefined);
};

/** The place of `self` among the listed nodes, from 0, in an order that `salt` shuffles. */
export const rankOf = (self: NodeAddress, listed: readonly ListedNode[], salt: string): number => {
  const own = hash32(`${salt} ${peerKey(self)}`);
  const staying = listed.filter((node) => !node.leaving && peerKey(node) !== peerKey(self));
  return staying.map(byRank(salt)).filter(({ rank }) => rank < own).length;
};

/** Nodes that read the log at all times; in a larger fleet the others hear of it from them. */
const LOG_READERS = 64;

/** The other nodes that read the log at all times. */
export const logReaders = (
  self: NodeAddress,
  listed: readonly ListedNode[],
): readonly ListedNode[] => {
  const others = listed.filter((node) => peerKey(node) !== peerKey(self));
  if (listed.length <= LOG_READERS) return others;
  return others
    .filter((node) => !node.leaving)
    .map(byRank('log-reader'))
    .sort((a, b) => a.rank - b.rank)
    .slice(0, LOG_READERS)
    .map(({ node }) => node);
};

/** Whether `self` is one of the nodes that read the log at all times. */
export const isLogReader = (self: NodeAddress, listed: readonly ListedNode[]): boolean =>
  listed.length <= LOG_READERS || rankOf(self, listed, 'log-reader') < LOG_READERS;
