import type { DataCentre } from './upstream';

/** Identifies one run of a node's process; chosen at random at its start and never reused. */
export type Incarnation = string;

/** The address and ports at which a node listens. */
export interface NodeAddress {
  /** An IP address. */
  readonly address: string;
  readonly callerPort: number;
  readonly peerPort: number;
}

/** A node of the fleet, as it describes itself to the others. */
export interface NodeIdentity extends NodeAddress {
  readonly incarnation: Incarnation;
  readonly dataCentre: DataCentre;
  /** Requests per second that the node can handle; absent where all hosts are alike. */
  readonly capacity?: number | undefined;
  /** Version of the binary datagrams that the node reads; absent if it reads JSON alone. */
  readonly datagramVersion?: number | undefined;
}

/** The state of a node as another one sees it; decides whether it may be given work. */
export type MemberState = 'alive' | 'suspect' | 'leaving' | 'dead';

/** A node (this one included) and its state as this node sees it. */
export interface Member extends NodeIdentity {
  readonly state: MemberState;
}

/** Returns the node's peer address as a map key, `ip:port`. */
export const peerKey = (node: NodeAddress): string => `${node.address}:${node.peerPort}`;
