import { setTimeout as sleep } from 'node:timers/promises';

import { startFaultProxy, type FaultProxy } from '../../../standins/fault-proxy';
import {
  startPlatformUpstream,
  type PlatformUpstream,
  type StoreStandIn,
} from '../../../standins/platform';
import { entryOf } from '../../gateway/harness';

import { oddEntryOf } from './odd-entries';
import type { LinkFault } from './schedule';

const UPSTREAM_TOPIC = 'keyed.servers';
const PASS_BOTH_WAYS = { up: 'pass', down: 'pass' } as const;
/** Time that an upstream takes for a request. */
const SERVICE_TIME_MS = 20;

/** Registrations that follow an odd entry, and the time between them in milliseconds. */
const REPORT_COUNT = 3;
const REPORT_GAP_MS = 300;

/** Starts a fault proxy in front of a local port. */
export const startProxyTo = (targetPort: number): Promise<FaultProxy> =>
  startFaultProxy({ port: 0, controlPort: 0, targetHost: '127.0.0.1', targetPort });

/** Sets the mode of a proxy's link through its control port. */
const setLink = async (proxy: FaultProxy, link: object): Promise<void> => {
  await fetch(`http://127.0.0.1:${proxy.controlPort}/_control`, {
    method: 'POST',
    body: JSON.stringify(link),
  });
};

/** Lets a proxy pass everything again in both directions. */
export const restoreLink = (proxy: FaultProxy): Promise<void> => setLink(proxy, PASS_BOTH_WAYS);

/** Applies a fault to a link for `durationMs`, then restores it. */
export const breakLink = async (
  proxy: FaultProxy | undefined,
  link: LinkFault,
  durationMs: number,
): Promise<void> => {
  if (!proxy) return;
  await setLink(proxy, link);
  await sleep(durationMs);
  await restoreLink(proxy);
};

/** An upstream behind a fault proxy, and its registration in the store. */
export class ProxiedUpstream {
  /** False from the time it starts draining until it rejoins. */
  isActive = true;

  /** Number of the current run under this id; it orders registrations before `sequence` does. */
  private born = 1;

  /** Number of the last registration in this run. */
  private sequence = 0;

  private constructor(
    readonly upstream: PlatformUpstream,
    readonly proxy: FaultProxy,
    private readonly store: StoreStandIn,
  ) {}

  static async start(id: string, store: StoreStandIn): Promise<ProxiedUpstream> {
    const upstream = await startPlatformUpstream(id);
    upstream.work = SERVICE_TIME_MS;
    const proxied = new ProxiedUpstream(upstream, await startProxyTo(upstream.port), store);
    proxied.register('ready');
    return proxied;
  }

  register(state: 'ready' | 'draining'): void {
    this.sequence += 1;
    this.store.put(UPSTREAM_TOPIC, this.upstream.id, this.entry(state));
  }

  /** Another program writes an odd entry under this id; the upstream goes on to register. */
  async misreport(number: number): Promise<void> {
    if (!this.isActive) return;
    this.store.put(UPSTREAM_TOPIC, this.upstream.id, oddEntryOf(number, this.entry('ready')));
    for (let i = 0; i < REPORT_COUNT; i++) {
      await sleep(REPORT_GAP_MS);
      if (this.isActive) this.register('ready');
    }
  }

  private entry(state: 'ready' | 'draining'): object {
    const { born, sequence, proxy, upstream } = this;
    return entryOf({ ...upstream, port: proxy.port }, { state, born, sequence });
  }

  unregister(): void {
    this.store.put(UPSTREAM_TOPIC, this.upstream.id);
  }

  /** Registers as draining. */
  drain(): void {
    this.isActive = false;
    this.register('draining');
  }

  /** Registers as ready, as a new run under the same id. */
  rejoin(): void {
    this.isActive = true;
    this.born += 1;
    this.sequence = 0;
    this.register('ready');
  }

  async close(): Promise<void> {
    await Promise.all([this.upstream.close(), this.proxy.close()]);
  }
}
