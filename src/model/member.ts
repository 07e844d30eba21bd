import type { DataCentre } from './upstream';

/** One run of a node's process: drawn at random at its start, never used again. */
export type Incarnation = string;

/** Where a node listens. */
export interface NodeAddress {
  /** An IP number. */
  readonly address: string;
  readonly callerPort: number;
  readonly peerPort: number;
}

/** One process of the fleet, as it describes itself. */
export interface NodeIdentity extends NodeAddress {
  readonly incarnation: Incarnation;
  readonly dataCentre: DataCentre;
  /** Requests a second that it can carry; absent where hosts are alike. */
  readonly capacity?: number | undefined;
}

/** What a node holds of another: whether it may be given work. */
export type MemberState = 'alive' | 'suspect' | 'leaving' | 'dead';

/** Another node (or this one) and its state. */
export interface Member extends NodeIdentity {
  readonly state: MemberState;
}

/** The peer address as a map key, `ip:port`. */
export const peerKey = (node: NodeAddress): string => `${node.address}:${node.peerPort}`;
