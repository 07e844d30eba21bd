import { setTimeout as sleep } from 'node:timers/promises';

import type { FaultProxy } from '../../../standins/fault-proxy';
import type { StoreStandIn } from '../../../standins/platform';

import { announceLimit, askForPause, sayLeaving } from './announcing';
import { answerInPieces, answerWithoutEnd } from './endless-answers';
import type { GatewayHosts } from './gateway-hosts';
import type { MisbehavingPeers } from './misbehaving-peers';
import type { OutcomeRecorder } from './outcome-recorder';
import type { PeerFault } from './peer-faults';
import { breakLink, type ProxiedUpstream } from './proxied-upstream';
import type { PublishedConfig } from './published-config';
import type { Fault } from './schedule';
import { sendSpoiltDatagrams } from './spoilt-datagrams';

/** Longest time after an upstream starts draining in which it may still get new requests. */
const DEPARTURE_BOUND_MS = 2000;
/** Time from the start of draining until the upstream rejoins. */
const REJOIN_DELAY_MS = 4000;
/** Time from the recovery of the store until upstreams register again. */
const REREGISTER_DELAY_MS = 1000;
/** Allowance for clocks and timers of a busy machine, added to time bounds. */
const TIMING_SLACK_MS = 500;

/** The parts of a fleet at which faults are injected. */
export interface FleetParts {
  readonly hosts: GatewayHosts;
  readonly store: StoreStandIn;
  readonly storeLinks: readonly FaultProxy[];
  readonly upstreams: readonly ProxiedUpstream[];
  readonly recorder: OutcomeRecorder;
  readonly config: PublishedConfig;
  readonly peers: MisbehavingPeers;
  /** The caller port of every gateway. */
  readonly port: number;
}

/** Injects faults into a fleet, each for its time. */
export class FaultPlayer {
  constructor(private readonly parts: FleetParts) {}

  /** Plays a fault for `durationMs`. */
  async play(fault: Fault, durationMs: number): Promise<void> {
    const { hosts, store, storeLinks, upstreams, recorder, config, port } = this.parts;
    switch (fault.kind) {
      case 'kill':
      case 'stop':
      case 'stop-series':
        return hosts.end(fault.gateway, fault.kind, durationMs);
      case 'pause':
        return hosts.pause(fault.gateway, durationMs);
      case 'reload-at-start':
        await hosts.end(fault.gateway, 'kill', durationMs);
        await sleep(fault.afterMs);
        return hosts.reload(fault.gateway);
      case 'reload':
        return hosts.reload(fault.gateway);
      case 'spoilt-datagrams': {
        const host = hosts.list[fault.gateway];
        const addresses = hosts.list.map(({ address }) => address);
        if (host) await sendSpoiltDatagrams(addresses, port, host.address, fault.seed);
        return undefined;
      }
      case 'store':
        store.mood = fault.mode;
        await sleep(durationMs);
        store.mood = 'well';
        return undefined;
      case 'store-link':
        return breakLink(storeLinks[fault.gateway], fault.link, durationMs);
      case 'upstream': {
        const upstream = upstreams[fault.upstream]?.upstream;
        if (!upstream) return undefined;
        upstream.mood = fault.mode;
        await sleep(durationMs);
        upstream.mood = 'well';
        return undefined;
      }
      case 'upstream-link':
        return breakLink(upstreams[fault.upstream]?.proxy, fault.link, durationMs);
      case 'departure':
        return this.depart(upstreams[fault.upstream]);
      case 'lapse':
        return this.lapseRegistrations(durationMs);
      case 'config':
        config.publishNext();
        return undefined;
      case 'old-config':
        config.publishPrevious();
        return undefined;
      case 'compaction':
        store.compact('keyed.servers');
        store.compact('keyed.op');
        return undefined;
      case 'store-copy':
        store.mood = 'reset';
        store.restoreCopy(Date.now() - fault.ageMs);
        await sleep(durationMs);
        store.mood = 'well';
        await sleep(REREGISTER_DELAY_MS);
        config.publish();
        upstreams.filter(({ isActive }) => isActive).forEach((each) => each.register('ready'));
        this.parts.peers.register();
        return undefined;
      case 'limit':
        recorder.limits.push(...(await announceLimit(upstreams[fault.upstream], fault.perSecond)));
        return undefined;
      case 'ask-pause':
        return askForPause(upstreams[fault.upstream], durationMs);
      case 'odd-entry':
        return upstreams[fault.upstream]?.misreport(fault.entry);
      case 'say-leaving':
        return sayLeaving(upstreams[fault.upstream]);
    }
  }

  /** Lets an upstream drain, unregister and rejoin, and records the period for the check. */
  private async depart(proxied: ProxiedUpstream | undefined): Promise<void> {
    if (!proxied?.isActive) return;
    const noWorkAfter = Date.now() + DEPARTURE_BOUND_MS + TIMING_SLACK_MS;
    proxied.drain();
    await sleep(DEPARTURE_BOUND_MS / 2);
    proxied.unregister();
    await sleep(REJOIN_DELAY_MS - DEPARTURE_BOUND_MS / 2);
    this.parts.recorder.departures.push({
      id: proxied.upstream.id,
      noWorkAfter,
      rejoinedAt: Date.now(),
    });
    proxied.rejoin();
  }

  /** Unregisters all active upstreams while the store is busy, then registers them again. */
  private async lapseRegistrations(durationMs: number): Promise<void> {
    const { store, upstreams } = this.parts;
    store.mood = 'busy';
    const active = upstreams.filter(({ isActive }) => isActive);
    active.forEach((upstream) => upstream.unregister());
    await sleep(durationMs);
    store.mood = 'well';
    await sleep(REREGISTER_DELAY_MS);
    active.filter(({ isActive }) => isActive).forEach((upstream) => upstream.register('ready'));
  }

  /** Plays a fault of a peer for `durationMs`. */
  async playPeer(fault: PeerFault, durationMs: number): Promise<void> {
    const { hosts, store, upstreams, peers } = this.parts;
    if ('gateway' in fault) {
      const host = hosts.list[fault.gateway];
      if (host) await peers.play(fault, host, durationMs);
      return;
    }
    switch (fault.kind) {
      case 'store-in-pieces':
      case 'endless-store':
        store.mood = fault.kind === 'endless-store' ? 'endless' : 'in-pieces';
        await sleep(durationMs);
        store.mood = 'well';
        return;
      case 'endless-upstream':
      case 'upstream-in-pieces': {
        const upstream = upstreams[fault.upstream]?.upstream;
        if (!upstream) return;
        upstream.respond =
          fault.kind === 'endless-upstream'
            ? (socket, { id }) => answerWithoutEnd(fault.form)(socket, id)
            : (socket, { id }) => answerInPieces(socket, id, `${upstream.id} ${id}`);
        await sleep(durationMs);
        upstream.respond = undefined;
      }
    }
  }
}
