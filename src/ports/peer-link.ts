import type { Readable } from 'node:stream';

import type { Call, Member, NodeAddress } from '../model';

import type { Reply } from './exchange';

/**
 * The role in which the receiving node handles a forwarded call: as the owner of its shard, as the
 * home of its idempotency key, or as the claimant that decides about a key without a home.
 */
export type CallRole = 'owner' | 'home' | 'claimant';

/** A control message between nodes. The component that `topic` names checks `body` before use. */
export interface PeerMessage {
  readonly topic: 'membership' | 'config' | 'handover' | 'load' | 'probe';
  readonly body: unknown;
}

/** Sends messages and calls to other nodes. Messages may be lost, duplicated or delayed. */
export interface PeerLink {
  /** Sends a message without waiting; one that can't be sent is dropped and counted. */
  send(to: NodeAddress, message: PeerMessage): void;
  /** Forwards a call to another node. A refusal states whether the call may have run. */
  call(to: Member, role: CallRole, call: Call, body: Readable, signal: AbortSignal): Promise<Reply>;
}
