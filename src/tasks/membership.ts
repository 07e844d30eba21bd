/** Connects a node's membership state to its peers. */
import PQueue from 'p-queue';

import { decodeMembershipMessage, type Membership, type MembershipEvent } from '../core';
import type { Member, Millis } from '../model';
import type { Clock, ListedHost, PeerLink, Telemetry } from '../ports';

const TICK_PERIOD_MS: Millis = 50;

/** Holds the parts of the node that the task uses. */
export interface MembershipContext {
  readonly membership: Membership;
  readonly peers: PeerLink;
  readonly clock: Clock;
  readonly telemetry: Telemetry;
  /** Called with all members whenever one is added, forgotten or changed. */
  onChanged(members: readonly Member[]): void;
}

/** Owns the membership; events are applied one at a time. */
export class MembershipTask {
  private readonly mailbox = new PQueue({ concurrency: 1 });

  private readonly ticker: NodeJS.Timeout;

  constructor(private readonly context: MembershipContext) {
    this.ticker = setInterval(() => {
      void this.enqueue({ kind: 'tick' });
    }, TICK_PERIOD_MS);
  }

  members(): readonly Member[] {
    return this.context.membership.members();
  }

  /** Handles a message of topic `membership`; counts malformed ones. */
  receive(body: unknown): void {
    decodeMembershipMessage(body).caseOf({
      Left: (err) =>
        this.context.telemetry.count('membership-message-refused', { reason: err.kind }),
      Right: (message) => {
        void this.enqueue({ kind: 'message', message });
      },
    });
  }

  /** Takes a newly read host list. */
  updateHosts(hosts: readonly ListedHost[]): void {
    void this.enqueue({ kind: 'host-list', hosts });
  }

  /** Tells the other nodes that this one accepts no new work. */
  leave(): Promise<void> {
    return this.enqueue({ kind: 'leave' });
  }

  /** Tells other nodes that this process ends, and stops the ticks. */
  async stop(): Promise<void> {
    this.close();
    await this.enqueue({ kind: 'stop' });
  }

  close(): void {
    clearInterval(this.ticker);
  }

  private enqueue(event: MembershipEvent): Promise<void> {
    const { membership, peers, clock, onChanged } = this.context;
    return this.mailbox.add(() => {
      membership.apply(event, clock.now()).effects.forEach((effect) => {
        switch (effect.kind) {
          case 'send':
            peers.send(effect.to, { topic: 'membership', body: effect.message });
            return;
          case 'changed':
            onChanged(effect.members);
        }
      });
    });
  }
}
