import { peerKey, type NodeAddress, type NodeIdentity } from '../../model';

import type { MembershipMessage } from './messages';

/** Asks the caller to send a message to another node. */
export interface SendEffect {
  readonly kind: 'send';
  /** A node's identity or, of a host at which no process is known, its address alone. */
  readonly to: NodeAddress & Pick<NodeIdentity, 'datagramVersion'>;
  readonly message: MembershipMessage;
}

/** Collects the messages of one step; drops messages to this node's own address. */
export class Outbox {
  private sends: SendEffect[] = [];

  constructor(private readonly self: NodeIdentity) {}

  send(to: NodeAddress, message: MembershipMessage): void {
    if (peerKey(to) === peerKey(this.self)) return;
    this.sends.push({ kind: 'send', to, message });
  }

  /** Returns the messages collected since the last call. */
  take(): readonly SendEffect[] {
    const taken = this.sends;
    this.sends = [];
    return taken;
  }
}
