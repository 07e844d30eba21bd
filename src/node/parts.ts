/** Creation and wiring of the parts of a node. */
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

import { createRandomGenerator, type NodeContext } from './context';
import { createKeyTasks, type KeyTasks } from './keys';

/** Holds the parts of a node. */
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
  readonly keys: KeyTasks;
}

/**
 * Returns a function that closes the connections to members that have died, so that calls to them
 * fail at once instead of waiting for a timeout.
 */
const createDeadPeerCloser = (peers: ClosablePeerLink): ((members: readonly Member[]) => void) => {
  let droppedIncarnations: ReadonlySet<string> = new Set();
  return (members) => {
    const isDead = ({ state }: Member): boolean => state === 'dead';
    const live = new Set(members.filter((member) => !isDead(member)).map(peerKey));
    const dead = members.filter((member) => isDead(member) && !live.has(peerKey(member)));
    dead
      .filter(({ incarnation }) => !droppedIncarnations.has(incarnation))
      .forEach((member) => peers.drop(member));
    droppedIncarnations = new Set(dead.map(({ incarnation }) => incarnation));
  };
};

const createConfigFollower = (
  settings: Settings,
  context: NodeContext,
  peers: ClosablePeerLink,
  onAccepted: (config: Config) => void,
): ConfigFollower => {
  const { log: url, retention, timeout } = settings.platform;
  const { self, clock } = context;
  const log = new HttpPlatformLog({ url, timeout, clock });
  const state = new ConfigState({ self, retention, random: createRandomGenerator() }, clock.now());
  return new ConfigFollower({ ...context, state, log, peers, onAccepted });
};

/** Creates the parts of a node. Their timers start at once; no socket listens yet. */
export const createParts = (settings: Settings, context: NodeContext): Parts => {
  const { self, clock } = context;
  const directory = new Directory();
  const peers = createPeerLink(context);
  const upstreams = createUpstreamClient(clock);
  const onMembers: ((members: readonly Member[]) => void)[] = [
    (members) => directory.updateMembers(members),
    createDeadPeerCloser(peers),
  ];
  const membership = new MembershipTask({
    ...context,
    membership: Membership.start(self, clock.now(), createRandomGenerator()),
    peers,
    onChanged: (members) => onMembers.forEach((listener) => listener(members)),
  });
  directory.updateMembers(membership.members());
  const onAccepted: ((config: Config) => void)[] = [(config) => directory.updateConfig(config)];
  const follower = createConfigFollower(settings, context, peers, (config) =>
    onAccepted.forEach((listener) => listener(config)),
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
  const keys = createKeyTasks(settings, context, peers, dispatcher.serve);
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
      membership.updateHosts(hosts);
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
