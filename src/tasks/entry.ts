/** The way of a call from the node that took it, by the key that it carries. */
import type { Readable } from 'node:stream';

import { unknownOutcome, type Call, type Member, type NodeIdentity } from '../model';
import type { CallRole, Handler, PeerLink, Reply, Telemetry } from '../ports';

const HOME_RETRY_AFTER_MS = 1000;

/** What the entry works with. */
export interface EntryContext {
  readonly self: NodeIdentity;
  readonly peers: PeerLink;
  readonly telemetry: Telemetry;
  readonly dispatch: Handler;
  readonly home: Handler;
  readonly claimant: Handler;
  /** The member that answers for a home's keys: the home, or who it handed them to. */
  holderOf(home: string): Member | undefined;
  /** The member that claims a caller's own key. */
  claimantOf(key: string): Member | undefined;
}

/** A call's first step in the fleet. */
export class EntryTask {
  constructor(private readonly context: EntryContext) {}

  readonly serve: Handler = async (call, body, signal) => {
    const { dispatch, home, claimant, holderOf, claimantOf } = this.context;
    switch (call.key.kind) {
      case 'none':
        return dispatch(call, body, signal);
      case 'homed': {
        const member = holderOf(call.key.home);
        if (!member) return { kind: 'refused', outcome: unknownOutcome('home-unreachable') };
        if (member.state === 'dead')
          return { kind: 'refused', outcome: unknownOutcome('home-gone') };
        return this.passTo(member, 'home', home, call, body, signal);
      }
      case 'bare': {
        const member = claimantOf(call.key.key);
        if (!member) return { kind: 'refused', outcome: unknownOutcome('home-unreachable') };
        return this.passTo(member, 'claimant', claimant, call, body, signal);
      }
    }
  };

  /**
   * Has a member answer for a key. Only its word can be `not-run`: a copy of the call may be on
   * its way there through another node.
   */
  private async passTo(
    member: Member,
    role: CallRole,
    local: Handler,
    call: Call,
    body: Readable,
    signal: AbortSignal,
  ): Promise<Reply> {
    const { self, peers, telemetry } = this.context;
    if (member.incarnation === self.incarnation) return local(call, body, signal);
    telemetry.count('pass', { role });
    const reply = await peers.call(member, role, call, body, signal);
    if (reply.kind === 'answer' || !reply.unsent) return reply;
    return { kind: 'refused', outcome: unknownOutcome('home-unreachable', HOME_RETRY_AFTER_MS) };
  }
}
