/** Handover of a stopping node's homes to another node, its heir, and the record of all heirs. */
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

const TICK_PERIOD_MS: Millis = 100;

/** Holds the parts of the node that the task uses. */
export interface HandoverContext {
  readonly self: NodeIdentity;
  readonly peers: PeerLink;
  readonly clock: Clock;
  readonly telemetry: Telemetry;
  /** Time in milliseconds for which a home's keys may be asked for after its handover. */
  readonly successorRecordTtl: Millis;
  /** Applies an event to the homes of this node. */
  apply(event: HomesEvent): void;
  /** Returns whether the heir of this stopping node has confirmed all homes. */
  isHandedOver(): boolean;
}

/** Returns a live member to hand over to, from this node's data centre if there is one. */
const chooseSuccessor = (self: NodeIdentity, members: readonly Member[]): Member | undefined => {
  const live = members.filter(
    ({ state, incarnation }) => state === 'alive' && incarnation !== self.incarnation,
  );
  return live.find(({ dataCentre }) => dataCentre === self.dataCentre) ?? live[0];
};

/** Exchanges the messages of topic `handover` with peers, and keeps track of heirs. */
export class HandoverTask {
  /** Heirs of the homes that were handed over, by home. */
  private heirs = Successors.none;

  private members: readonly Member[] = [];

  private knownIncarnations: ReadonlySet<Incarnation> = new Set();

  private deadIncarnations: ReadonlySet<Incarnation> = new Set();

  private readonly ticker: NodeJS.Timeout;

  constructor(private readonly context: HandoverContext) {
    this.ticker = setInterval(() => context.apply({ kind: 'tick' }), TICK_PERIOD_MS);
  }

  /** Returns the node that answers for a home's keys; undefined when this node knows of none. */
  holderOf(home: Incarnation): Member | undefined {
    const heir = this.heirs.get(home)?.heir;
    const member = this.members.find(
      ({ incarnation }) => incarnation === (heir?.incarnation ?? home),
    );
    return member ?? (heir && { ...heir, state: 'suspect' });
  }

  /** Takes the members now known: sends the heirs to new ones, and reports newly dead ones. */
  updateMembers(members: readonly Member[]): void {
    const { self, apply } = this.context;
    const dead = members
      .filter(({ state }) => state === 'dead')
      .map((member) => member.incarnation);
    dead
      .filter((incarnation) => !this.deadIncarnations.has(incarnation))
      .forEach((incarnation) => apply({ kind: 'member-dead', incarnation }));
    members
      .filter(
        ({ incarnation, state }) => state === 'alive' && !this.knownIncarnations.has(incarnation),
      )
      .filter(({ incarnation }) => incarnation !== self.incarnation)
      .forEach((member) => this.sendSuccessors(member, this.heirs.list()));
    this.deadIncarnations = new Set(dead);
    this.knownIncarnations = new Set(members.map(({ incarnation }) => incarnation));
    this.members = members;
  }

  /** Handles a message of topic `handover`; counts malformed ones. */
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

  /** Sends a message to a peer, or announces the heir of a home to all members. */
  carryOut(effect: HandoverEffect): void {
    if (effect.kind === 'send') {
      this.context.peers.send(effect.to, { topic: 'handover', body: effect.message });
      return;
    }
    const { home, heir, hops } = effect.successor;
    this.context.telemetry.event('home-handed-over', { home, heir: heir.incarnation, hops });
    this.learn([effect.successor]);
    this.members
      .filter(({ incarnation }) => incarnation !== this.context.self.incarnation)
      .forEach((member) => this.sendSuccessors(member, [effect.successor]));
  }

  /**
   * Hands all homes over on a planned stop. Resolves to false when there is no heir, or when it has
   * not confirmed by `deadline`.
   */
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
        setTimeout(resolve, TICK_PERIOD_MS);
      });
    }
    if (!isHandedOver()) telemetry.count('handover-failed', { reason: 'deadline-passed' });
    return isHandedOver();
  }

  close(): void {
    clearInterval(this.ticker);
  }

  /** Stores heirs that were announced, for as long as their keys may be asked for. */
  private learn(announced: readonly SuccessorRecord[]): void {
    const now = this.context.clock.now();
    this.heirs = this.heirs.learn(announced, now + this.context.successorRecordTtl, now);
  }

  private sendSuccessors(to: NodeAddress, heirs: readonly SuccessorRecord[]): void {
    if (heirs.length === 0) return;
    this.context.peers.send(to, { topic: 'handover', body: { kind: 'heirs', heirs } });
  }
}
