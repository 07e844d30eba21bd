/** The three HTTP servers of a node: for callers, peers and operators. */
import type { Server } from 'node:http';

import {
  createCallerServer,
  createOperatorServer,
  createPeerServer,
  type PeerService,
} from '../adapters';
import { addressesFor, addressAnswerOf } from '../core';
import { peerKey, type Settings } from '../model';
import type { AddressOffer } from '../ports';

import type { NodeContext } from './context';
import type { Parts } from './parts';

/** Lists what the servers need from the node itself. */
export interface Lifecycle {
  /** Returns whether a planned stop has started. */
  isLeaving(): boolean;
  /** Starts a planned stop. */
  drain(): void;
}

/** Holds the servers of a node, which are not listening yet. */
export interface Servers {
  readonly caller: Server;
  readonly peer: Server;
  readonly operator: Server;
}

/** Returns a function that passes each message of a peer to the task of its topic. */
const createMessageHandler =
  (context: NodeContext, { membership, config, probes, keys }: Parts): PeerService['onMessage'] =>
  (from, { topic, body }) => {
    switch (topic) {
      case 'membership':
        membership.receive(body);
        return;
      case 'config':
        config.receive(body);
        return;
      case 'probe':
        probes.receive(from, body);
        return;
      case 'handover':
        keys.handover.receive(body);
        return;
      case 'load':
        context.telemetry.count('peer-message-dropped', { topic });
        return;
      default:
        // A peer of a newer version may send topics that this node does not know.
        context.telemetry.count('peer-message-dropped', { topic: 'unknown' });
    }
  };

/** Returns the nodes that a caller may send to, and the key prefix unless this node is leaving. */
const offerAddresses = (
  { clock }: NodeContext,
  { directory, keys }: Parts,
  lifecycle: Lifecycle,
  service: string,
  workspace: string,
): AddressOffer => {
  const owners = directory.shardsOf(service).map(({ id }) => directory.ownersOf(id));
  const nodes = addressesFor({ owners, members: directory.members, workspace });
  return addressAnswerOf(
    nodes,
    () => (lifecycle.isLeaving() ? '' : keys.currentPrefix()),
    clock.now(),
  );
};

/** Returns the status that the operator port answers as JSON. */
const statusOf = (
  { self, clock }: NodeContext,
  { directory, config, inFlight }: Parts,
  lifecycle: Lifecycle,
): object => ({
  incarnation: self.incarnation,
  dataCentre: self.dataCentre,
  state: lifecycle.isLeaving() ? 'leaving' : 'alive',
  configVersion: config.current().version,
  configFresh: config.isFresh(clock.now()),
  inFlight: inFlight.size,
  members: directory.members.map((member) => ({
    node: peerKey(member),
    dataCentre: member.dataCentre,
    state: member.state,
  })),
});

/** Creates the servers of a node. */
export const createServers = (
  settings: Settings,
  context: NodeContext,
  parts: Parts,
  lifecycle: Lifecycle,
): Servers => {
  const { maxBodyBytes, maxHeadBytes, headTimeout } = settings.limits;
  const { directory, inFlight, owner, entry, keys } = parts;
  return {
    peer: createPeerServer(context, {
      handlers: {
        owner: inFlight.track(owner.serve),
        home: inFlight.track(keys.home.serve),
        claimant: inFlight.track(keys.claimant.serve),
      },
      onMessage: createMessageHandler(context, parts),
    }),
    caller: createCallerServer({
      ...context,
      idPrefix: context.self.incarnation,
      maxBodyBytes,
      maxHeadBytes,
      headTimeoutMs: headTimeout,
      service: {
        isLeaving: () => lifecycle.isLeaving(),
        route: (method, path, workspace) => directory.route(method, path, workspace),
        addresses: (service, workspace) =>
          offerAddresses(context, parts, lifecycle, service, workspace),
        serve: inFlight.track(entry.serve),
      },
    }),
    operator: createOperatorServer(
      {
        status: () => statusOf(context, parts, lifecycle),
        inventory: () => parts.config.current().inventory.all(),
        drain: () => lifecycle.drain(),
      },
      context.telemetry,
    ),
  };
};
