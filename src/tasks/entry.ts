/** Routing of a call from the node that accepted it, by the kind of its idempotency key. */
import type { Readable } from 'node:stream';

import { unknownOutcome, type Call, type Member, type NodeIdentity } from '../model';
import type { CallRole, Handler, PeerLink, Reply, Telemetry } from '../ports';

/** Retry-after in milliseconds for a call that could not be sent to its key's member. */
const HOME_RETRY_AFTER_MS = 1000;

/** Holds the parts of the node that the task uses. */
export interface EntryContext {
  readonly self: NodeIdentity;
  readonly peers: PeerLink;
  readonly telemetry: Telemetry;
  /** Serves calls without a key. */
  readonly dispatch: Handler;
  /** Serves calls whose homed key this node answers for. */
  readonly home: Handler;
  /** Serves calls whose bare key this node claims. */
  readonly claimant: Handler;
  /** Returns the member that answers for a home's keys: the home itself or its heir. */
  holderOf(home: string): Member | undefined;
  /** Returns the member that claims a caller's own key. */
  claimantOf(key: string): Member | undefined;
}

/** Serves calls from callers: each goes to the member that answers for its key. */
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
        return this.sendToMember(member, 'home', home, call, body, signal);
      }
      case 'bare': {
        const member = claimantOf(call.key.key);
        if (!member) return { kind: 'refused', outcome: unknownOutcome('home-unreachable') };
        return this.sendToMember(member, 'claimant', claimant, call, body, signal);
      }
    }
  };

  /**
   * Sends a call to the member that answers for its key. Only that member can say `not-run`, since
   * a copy of the call may reach it through another node.
   */
  private async sendToMember(
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
