/**
 * The homes of a node. A home is the incarnation of a node that issued key prefixes. The node holds
 * its own home and those that stopping nodes have handed to it.
 */
import {
  type CallId,
  type Incarnation,
  type Instant,
  type NodeIdentity,
  type Refusal,
  unknownOutcome,
} from '../../model';

import { OutgoingHandover, type ReceivedLedger } from './handover';
import type { HandoverFrame, HandoverMessage, HandoverSettled } from './handover-message';
import {
  type HeldHome,
  type Home,
  type IncomingHome,
  incomingHome,
  inheritedHome,
  isHandedOver,
  ownHome,
} from './home-state';
import type { HomedCall, HomesEffect, HomesEvent } from './homes-event';
import { type LedgerVerdict, settlementVerdict } from './ledger';
import type { EntryId, LedgerLimits, Settlement } from './ledger-entry';
import { WaitingCalls } from './waiting-calls';

const send = (to: NodeIdentity, messages: readonly HandoverMessage[]): readonly HomesEffect[] =>
  messages.map((message) => ({ kind: 'send', to, message }));

const refuse = (callId: CallId, outcome: Refusal): HomesEffect => ({
  kind: 'refuse',
  callId,
  outcome,
});

/** Returns the name under which calls wait for the result of a run. */
const runId = (home: Incarnation, id: EntryId): string => `${home}/${id}`;

/**
 * Runs, replays, refuses or forwards each call with a homed key, and hands homes over. The requests
 * of a home are started by one node at a time, and never again by a node that handed the home over.
 */
export class Homes {
  private readonly homes = new Map<Incarnation, Home>();

  /** Calls that wait for the result of a run, by its run id, or for a ledger, by its home. */
  private readonly waiting = new WaitingCalls<HomedCall>();

  /** Ids of the runs that are in flight at this node. */
  private readonly runsInFlight = new Set<string>();

  /** Successor of this node, set once by a planned stop. */
  private heir: NodeIdentity | null = null;

  constructor(
    private readonly self: NodeIdentity,
    private readonly limits: LedgerLimits,
    now: Instant,
  ) {
    this.homes.set(self.incarnation, ownHome(self.incarnation, limits, now));
  }

  /** Whether this node is stopping and has no runs, handovers or awaited results left. */
  get handedOver(): boolean {
    if (!this.heir || this.runsInFlight.size > 0) return false;
    return [...this.homes.values()].every(isHandedOver);
  }

  /** Counts the ledger entries and the bytes of answer bodies over all homes held here. */
  get load(): { readonly entries: number; readonly bodyBytes: number } {
    const ledgers = this.held().map(({ ledger }) => ledger);
    return {
      entries: ledgers.reduce((sum, ledger) => sum + ledger.size, 0),
      bodyBytes: ledgers.reduce((sum, ledger) => sum + ledger.bodyBytes, 0),
    };
  }

  /** Returns whether this node holds the home or is receiving it. */
  has(home: Incarnation): boolean {
    return this.homes.has(home);
  }

  /** Handles an event; returns the effects to carry out, in order. */
  apply(event: HomesEvent, now: Instant): readonly HomesEffect[] {
    switch (event.kind) {
      case 'call':
        return this.call(event.call, now);
      case 'refuse':
        return this.refuseUnread(event, now);
      case 'leave':
        return this.leave(event.callId);
      case 'settle':
        return this.settle(event.home, event.id, event.settlement, now);
      case 'stop':
        return this.stop(event.successor, now);
      case 'message':
        return this.message(event.message, now);
      case 'member-dead':
        return [...this.homes.values()].flatMap((home) =>
          this.onPredecessorDead(home, event.incarnation, now),
        );
      case 'tick':
        return this.held().flatMap(({ outgoing }) =>
          outgoing ? send(outgoing.parties.heir, outgoing.apply({ kind: 'tick' }, now)) : [],
        );
    }
  }

  private held(): readonly HeldHome[] {
    return [...this.homes.values()].filter((home) => home.kind === 'held');
  }

  private call(call: HomedCall, now: Instant): readonly HomesEffect[] {
    const home = this.homes.get(call.home);
    if (!home) return [{ kind: 'not-here', callId: call.callId }];
    if (home.kind === 'taking') return this.waitForLedger(home, call, now);
    const { ref, fingerprint, callId } = call;
    const late = call.deadline <= now;
    const kind = late || home.outgoing ? 'look' : 'call';
    const verdict = home.ledger.apply({ kind, ref, fingerprint }, now);
    if (late && (verdict.kind === 'join' || verdict.kind === 'absent')) {
      return [refuse(callId, unknownOutcome('timeout'))];
    }
    if (verdict.kind === 'absent' && home.outgoing) return this.forward(home.outgoing, call);
    return this.answer(call, verdict);
  }

  /** Forwards a call to the successor, or holds it until the successor knows of the home. */
  private forward(outgoing: OutgoingHandover, call: HomedCall): readonly HomesEffect[] {
    if (outgoing.accepted) {
      return [{ kind: 'forward', callId: call.callId, to: outgoing.parties.heir }];
    }
    this.waiting.add(call.home, call);
    return [];
  }

  /** Holds a call in `waiting` until the ledger has arrived. */
  private waitForLedger(home: IncomingHome, call: HomedCall, now: Instant): readonly HomesEffect[] {
    if (home.predecessorDead) return [refuse(call.callId, unknownOutcome('home-gone'))];
    if (call.deadline <= now) return [refuse(call.callId, unknownOutcome('timeout'))];
    this.waiting.add(call.home, call);
    return [];
  }

  private answer(call: HomedCall, verdict: LedgerVerdict): readonly HomesEffect[] {
    const { callId, home } = call;
    switch (verdict.kind) {
      case 'start':
        this.runsInFlight.add(runId(home, verdict.id));
        this.waiting.add(runId(home, verdict.id), call);
        return [{ kind: 'run', callId, home, id: verdict.id }];
      case 'join':
        this.waiting.add(runId(home, verdict.id), call);
        return [];
      case 'replay':
        return [{ kind: 'replay', callId, answer: verdict.answer }];
      case 'refuse':
        return [refuse(callId, verdict.outcome)];
      case 'absent':
      case 'settled':
        throw new Error(
          `expected start, join, replay or refuse from the ledger, got ${verdict.kind}`,
        );
    }
  }

  private refuseUnread(
    event: Extract<HomesEvent, { kind: 'refuse' }>,
    now: Instant,
  ): readonly HomesEffect[] {
    const { callId, ref, reason } = event;
    const home = this.homes.get(event.home);
    if (!home) return [{ kind: 'not-here', callId }];
    if (home.kind === 'taking' || home.outgoing) {
      return [refuse(callId, unknownOutcome('home-unreachable'))];
    }
    const verdict = home.ledger.apply({ kind: 'refuse', ref, reason }, now);
    if (verdict.kind === 'replay') return [{ kind: 'replay', callId, answer: verdict.answer }];
    return verdict.kind === 'refuse' ? [refuse(callId, verdict.outcome)] : [];
  }

  private leave(callId: CallId): readonly HomesEffect[] {
    return this.waiting.remove(callId) ? [refuse(callId, unknownOutcome('in-flight'))] : [];
  }

  /** Records the result of a run, answers the calls that wait for it, and sends it on. */
  private settle(
    name: Incarnation,
    id: EntryId,
    settlement: Settlement,
    now: Instant,
  ): readonly HomesEffect[] {
    const home = this.homes.get(name);
    this.runsInFlight.delete(runId(name, id));
    if (home?.kind !== 'held') return [];
    home.inFlightAtPredecessor.delete(id);
    home.ledger.apply({ kind: 'settle', id, settlement }, now);
    const kept = home.ledger.get(id)?.settlement ?? settlement;
    const answers = this.waiting
      .release(runId(name, id))
      .flatMap((call) => this.answer(call, settlementVerdict(kept)));
    if (!home.outgoing) return answers;
    const { heir } = home.outgoing.parties;
    const messages = home.outgoing.apply({ kind: 'settled', id, settlement: kept }, now);
    return [...answers, ...send(heir, messages)];
  }

  private stop(heir: NodeIdentity, now: Instant): readonly HomesEffect[] {
    if (this.heir) return [];
    this.heir = heir;
    return this.held().flatMap((home) => this.startHandover(home, heir, now));
  }

  private startHandover(home: HeldHome, heir: NodeIdentity, now: Instant): readonly HomesEffect[] {
    if (home.predecessor?.incarnation === heir.incarnation) return [];
    const hops = home.hops + 1;
    const parties = { home: home.home, hops, giver: this.self, heir };
    const outgoing = new OutgoingHandover(parties, home.ledger.header(now), home.ledger.all());
    this.homes.set(home.home, { ...home, hops, outgoing });
    const messages = outgoing.apply({ kind: 'tick' }, now);
    return [
      { kind: 'announce', successor: { home: home.home, heir, hops } },
      ...send(heir, messages),
    ];
  }

  private message(message: HandoverMessage, now: Instant): readonly HomesEffect[] {
    switch (message.kind) {
      case 'frame':
        return message.heir === this.self.incarnation ? this.frame(message, now) : [];
      case 'settled':
        return message.heir === this.self.incarnation ? this.settled(message, now) : [];
      case 'ack':
      case 'settled-ack':
        return this.acknowledged(message, now);
      case 'heirs':
        return [];
    }
  }

  private acknowledged(
    message: Extract<HandoverMessage, { kind: 'ack' | 'settled-ack' }>,
    now: Instant,
  ): readonly HomesEffect[] {
    const home = this.homes.get(message.home);
    if (home?.kind !== 'held' || !home.outgoing) return [];
    const { outgoing } = home;
    const { heir } = outgoing.parties;
    if (heir.incarnation !== message.heir) return [];
    const messages = send(heir, outgoing.apply(message, now));
    const calls = outgoing.accepted ? this.waiting.release(home.home) : [];
    return [...messages, ...calls.flatMap((call) => this.forward(outgoing, call))];
  }

  private frame(frame: HandoverFrame, now: Instant): readonly HomesEffect[] {
    const { giver, seq } = frame;
    const ack = send(giver, [{ kind: 'ack', home: frame.home, heir: this.self.incarnation, seq }]);
    const held = this.homes.get(frame.home);
    if (held?.kind === 'held') {
      return held.predecessor?.incarnation === giver.incarnation ? ack : [];
    }
    const home = held ?? incomingHome(frame);
    this.homes.set(home.home, home);
    home.incoming.addFrame(frame);
    const received = home.incoming.receivedLedger();
    return received ? [...ack, ...this.completeReceipt(home, received, now)] : ack;
  }

  private settled(message: HandoverSettled, now: Instant): readonly HomesEffect[] {
    const { id, giver, settlement } = message;
    const home = this.homes.get(message.home);
    if (!home) return [];
    const heir = this.self.incarnation;
    const ack = send(giver, [{ kind: 'settled-ack', home: home.home, heir, id }]);
    if (home.kind === 'taking') {
      home.incoming.addSettlement(message);
      return ack;
    }
    if (home.predecessor?.incarnation !== giver.incarnation) return [];
    return [...ack, ...this.settle(home.home, id, settlement, now)];
  }

  /** Takes over a home once its whole ledger has arrived, and handles the calls that waited. */
  private completeReceipt(
    home: IncomingHome,
    received: ReceivedLedger,
    now: Instant,
  ): readonly HomesEffect[] {
    const held = inheritedHome(home, received, this.limits, now);
    this.homes.set(home.home, held);
    const calls = this.waiting.release(home.home);
    const record = { home: home.home, heir: this.self, hops: home.hops };
    return [
      { kind: 'announce', successor: record },
      ...received.settlements.flatMap(([id, settlement]) =>
        this.settle(home.home, id, settlement, now),
      ),
      ...(home.predecessorDead
        ? this.onPredecessorDead(held, home.incoming.predecessor.incarnation, now)
        : []),
      ...(this.heir ? this.startHandover(held, this.heir, now) : []),
      ...calls.flatMap((call) => this.call(call, now)),
    ];
  }

  /** Settles the requests that were in flight at a dead predecessor as unknown. */
  private onPredecessorDead(home: Home, dead: Incarnation, now: Instant): readonly HomesEffect[] {
    if (home.kind === 'held') {
      if (home.predecessor?.incarnation !== dead) return [];
      const gone = unknownOutcome('home-gone');
      return [...home.inFlightAtPredecessor].flatMap((id) => this.settle(home.home, id, gone, now));
    }
    if (home.incoming.predecessor.incarnation !== dead) return [];
    this.homes.set(home.home, { ...home, predecessorDead: true });
    const calls = this.waiting.release(home.home);
    return calls.map(({ callId }) => refuse(callId, unknownOutcome('home-gone')));
  }
}
