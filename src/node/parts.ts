/** The parts of a node, each wired to the others that it needs. */
import {
  createPeerLink,
  createUpstreamClient,
  HttpHostList,
  HttpPlatformLog,
  type ClosablePeerLink,
} from '../adapters';
import { ConfigState, Directory, Membership } from '../core';
import { peerKey, type Config, type Member, type Settings } from '../model';
import {
  ConfigFollower,
  Dispatcher,
  EntryTask,
  HostListPoller,
  InFlight,
  MembershipTask,
  OwnerTask,
  UpstreamProbes,
} from '../tasks';

import { drawGenerator, type NodeContext } from './context';
import { createKeys, type Keys } from './keys';

/** A node's parts. */
export interface Parts {
  readonly directory: Directory;
  readonly inFlight: InFlight;
  readonly peers: ClosablePeerLink;
  readonly membership: MembershipTask;
  readonly config: ConfigFollower;
  readonly hostListPoller: HostListPoller;
  readonly probes: UpstreamProbes;
  readonly owner: OwnerTask;
  readonly entry: EntryTask;
  readonly keys: Keys;
}

/** Closes the connections to members found dead, whose calls would else wait for a timeout. */
const createDropper = (peers: ClosablePeerLink): ((members: readonly Member[]) => void) => {
  let dropped: ReadonlySet<string> = new Set();
  return (members) => {
    const isDead = ({ state }: Member): boolean => state === 'dead';
    const live = new Set(members.filter((member) => !isDead(member)).map(peerKey));
    const dead = members.filter((member) => isDead(member) && !live.has(peerKey(member)));
    dead
      .filter(({ incarnation }) => !dropped.has(incarnation))
      .forEach((member) => peers.drop(member));
    dropped = new Set(dead.map(({ incarnation }) => incarnation));
  };
};

const createFollower = (
  settings: Settings,
  context: NodeContext,
  peers: ClosablePeerLink,
  onAccepted: (config: Config) => void,
): ConfigFollower => {
  const { log: url, retention, timeout } = settings.platform;
  const { self, clock } = context;
  const log = new HttpPlatformLog({ url, timeout, clock });
  const state = new ConfigState({ self, retention, random: drawGenerator() }, clock.now());
  return new ConfigFollower({ ...context, state, log, peers, onAccepted });
};

/** Makes a node's parts; timers run from here on, and nothing listens yet. */
export const createParts = (settings: Settings, context: NodeContext): Parts => {
  const { self, clock } = context;
  const directory = new Directory();
  const peers = createPeerLink(context);
  const upstreams = createUpstreamClient(clock);
  const onMembers: ((members: readonly Member[]) => void)[] = [
    (members) => directory.updateMembers(members),
    createDropper(peers),
  ];
  const membership = new MembershipTask({
    ...context,
    membership: Membership.start(self, clock.now(), drawGenerator()),
    peers,
    onChanged: (members) => onMembers.forEach((take) => take(members)),
  });
  directory.updateMembers(membership.members());
  const onAccepted: ((config: Config) => void)[] = [(config) => directory.updateConfig(config)];
  const follower = createFollower(settings, context, peers, (config) =>
    onAccepted.forEach((take) => take(config)),
  );
  const probes = new UpstreamProbes({ ...context, directory, peers, upstreams });
  const owner = new OwnerTask({
    ...context,
    directory,
    upstreams,
    probes,
    weightOf: (workspace) => directory.weightOf(workspace),
    isConfigFresh: () => follower.isFresh(clock.now()),
  });
  onAccepted.push(() => owner.refresh());
  const dispatcher = new Dispatcher({ ...context, directory, peers, owner: owner.serve });
  const keys = createKeys(settings, context, peers, dispatcher.serve);
  keys.updateMembers(membership.members());
  onMembers.push((members) => keys.updateMembers(members));
  const entry = new EntryTask({
    ...context,
    peers,
    dispatch: dispatcher.serve,
    home: keys.home.serve,
    claimant: keys.claimant.serve,
    holderOf: (home) => keys.handover.holderOf(home),
    claimantOf: (key) => keys.claimant.claimantOf(key),
  });
  const hostListPoller = new HostListPoller({
    ...context,
    hosts: new HttpHostList({ url: settings.platform.hosts, clock }),
    onRead: (hosts) => {
      membership.read(hosts);
      follower.read(hosts);
    },
  });
  return {
    directory,
    inFlight: new InFlight(),
    peers,
    membership,
    config: follower,
    hostListPoller,
    probes,
    owner,
    entry,
    keys,
  };
};
