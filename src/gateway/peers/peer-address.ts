import { isCount, isIpAddress, isObject, isPort, type NodeIdentity } from '../../model';

/** Address at which peers reach a gateway. */
export type PeerAddress = Pick<NodeIdentity, 'address' | 'peerPort' | 'datagramVersion'>;

/** Decodes the address to which a message asks for an answer; undefined if none can be sent there. */
export const decodePeerAddress = (value: unknown): PeerAddress | undefined => {
  if (!isObject(value) || !isIpAddress(value.address) || !isPort(value.peerPort)) return undefined;
  const { address, peerPort, datagramVersion } = value;
  return { address, peerPort, ...(isCount(datagramVersion) ? { datagramVersion } : {}) };
};
