/** Hands a stopping node's homes to an heir, and knows whose heirs are whose. */
import { Successors, parseHandoverMessage, type SuccessorRecord, type HomesEvent } from '../core';
import {
  type Incarnation,
  type Instant,
  type Member,
  type Millis,
  type NodeAddress,
  type NodeIdentity,
} from '../model';
import type { Clock, PeerLink, Telemetry } from '../ports';

import type { HandoverEffect } from './home';

const TICK_EVERY: Millis = 100;

/** What the task works with. */
export interface HandoverContext {
  readonly self: NodeIdentity;
  readonly peers: PeerLink;
  readonly clock: Clock;
  readonly telemetry: Telemetry;
  /** How long a home's keys may still be asked for. */
  readonly successorRecordTtl: Millis;
  apply(event: HomesEvent): void;
  /** Whether a stopping node's heir has all. */
  isHandedOver(): boolean;
}

/** The nearest live member: one of the same data centre where there is one. */
const chooseSuccessor = (self: NodeIdentity, members: readonly Member[]): Member | undefined => {
  const live = members.filter(
    ({ state, incarnation }) => state === 'alive' && incarnation !== self.incarnation,
  );
  return live.find(({ dataCentre }) => dataCentre === self.dataCentre) ?? live[0];
};

/** Carries the messages of topic `handover`. */
export class HandoverTask {
  private heirs = Successors.none;

  private members: readonly Member[] = [];

  private known: ReadonlySet<Incarnation> = new Set();

  private dead: ReadonlySet<Incarnation> = new Set();

  private readonly ticker: NodeJS.Timeout;

  constructor(private readonly context: HandoverContext) {
    this.ticker = setInterval(() => context.apply({ kind: 'tick' }), TICK_EVERY);
  }

  /** The node that answers for a home's keys; undefined when this node knows of none. */
  holderOf(home: Incarnation): Member | undefined {
    const heir = this.heirs.get(home)?.heir;
    const member = this.members.find(
      ({ incarnation }) => incarnation === (heir?.incarnation ?? home),
    );
    return member ?? (heir && { ...heir, state: 'suspect' });
  }

  /** Takes the members now known: greets the new ones and notes the dead. */
  updateMembers(members: readonly Member[]): void {
    const { self, apply } = this.context;
    const dead = members
      .filter(({ state }) => state === 'dead')
      .map((member) => member.incarnation);
    dead
      .filter((incarnation) => !this.dead.has(incarnation))
      .forEach((incarnation) => apply({ kind: 'member-dead', incarnation }));
    members
      .filter(({ incarnation, state }) => state === 'alive' && !this.known.has(incarnation))
      .filter(({ incarnation }) => incarnation !== self.incarnation)
      .forEach((member) => this.tell(member, this.heirs.list()));
    this.dead = new Set(dead);
    this.known = new Set(members.map(({ incarnation }) => incarnation));
    this.members = members;
  }

  /** Takes a message of topic `handover`. */
  receive(body: unknown): void {
    const { telemetry, apply } = this.context;
    parseHandoverMessage(body).caseOf({
      Left: (err) => telemetry.count('handover-message-refused', { reason: err.kind }),
      Right: (message) => {
        if (message.kind === 'heirs') this.learn(message.heirs);
        else apply({ kind: 'message', message });
      },
    });
  }

  carry(effect: HandoverEffect): void {
    if (effect.kind === 'send') {
      this.context.peers.send(effect.to, { topic: 'handover', body: effect.message });
      return;
    }
    const { home, heir, hops } = effect.successor;
    this.context.telemetry.event('home-handed-over', { home, heir: heir.incarnation, hops });
    this.learn([effect.successor]);
    this.members
      .filter(({ incarnation }) => incarnation !== this.context.self.incarnation)
      .forEach((member) => this.tell(member, [effect.successor]));
  }

  /** A planned stop: hands all homes over; false when the heir has not said by `deadline` that it has them. */
  async handOver(deadline: Instant): Promise<boolean> {
    const { self, clock, telemetry, apply, isHandedOver } = this.context;
    const heir = chooseSuccessor(self, this.members);
    if (!heir) {
      telemetry.count('handover-failed', { reason: 'no-heir' });
      return false;
    }
    const { incarnation, dataCentre, address, callerPort, peerPort } = heir;
    const identity = { incarnation, dataCentre, address, callerPort, peerPort };
    apply({ kind: 'stop', successor: identity });
    while (!isHandedOver() && clock.now() < deadline) {
      await new Promise((resolve) => {
        setTimeout(resolve, TICK_EVERY);
      });
    }
    if (!isHandedOver()) telemetry.count('handover-failed', { reason: 'deadline-passed' });
    return isHandedOver();
  }

  close(): void {
    clearInterval(this.ticker);
  }

  private learn(heard: readonly SuccessorRecord[]): void {
    const now = this.context.clock.now();
    this.heirs = this.heirs.learn(heard, now + this.context.successorRecordTtl, now);
  }

  private tell(to: NodeAddress, heirs: readonly SuccessorRecord[]): void {
    if (heirs.length === 0) return;
    this.context.peers.send(to, { topic: 'handover', body: { kind: 'heirs', heirs } });
  }
}
