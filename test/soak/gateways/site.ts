import { setTimeout as sleep } from 'node:timers/promises';

import { startFaultProxy, type FaultProxy } from '../../../standins/fault-proxy';
import {
  startPlatformUpstream,
  type PlatformUpstream,
  type StoreStandIn,
} from '../../../standins/platform';
import { entryOf } from '../../gateway/harness';

import type { LinkFault } from './schedule';

const TOPIC = 'keyed.servers';
const PASS = { up: 'pass', down: 'pass' } as const;
/** Milliseconds that a request takes at an upstream. */
const WORK = 20;

export const proxyTo = (targetPort: number): Promise<FaultProxy> =>
  startFaultProxy({ port: 0, controlPort: 0, targetHost: '127.0.0.1', targetPort });

const control = async (proxy: FaultProxy, link: object): Promise<void> => {
  await fetch(`http://127.0.0.1:${proxy.controlPort}/_control`, {
    method: 'POST',
    body: JSON.stringify(link),
  });
};

export const heal = (proxy: FaultProxy): Promise<void> => control(proxy, PASS);

/** Breaks a link for a while, in milliseconds. */
export const breakLink = async (
  proxy: FaultProxy | undefined,
  link: LinkFault,
  lasts: number,
): Promise<void> => {
  if (!proxy) return;
  await control(proxy, link);
  await sleep(lasts);
  await heal(proxy);
};

/** An upstream behind a proxy, and what the store has of it. */
export class Site {
  /** It has not said that it leaves. */
  isPresent = true;

  private born = 1;

  private sequence = 0;

  private constructor(
    readonly upstream: PlatformUpstream,
    readonly proxy: FaultProxy,
    private readonly store: StoreStandIn,
  ) {}

  static async start(id: string, store: StoreStandIn): Promise<Site> {
    const upstream = await startPlatformUpstream(id);
    upstream.work = WORK;
    const site = new Site(upstream, await proxyTo(upstream.port), store);
    site.register('ready');
    return site;
  }

  register(state: 'ready' | 'draining'): void {
    this.sequence += 1;
    const { born, sequence, proxy, upstream } = this;
    const entry = entryOf({ ...upstream, port: proxy.port }, { state, born, sequence });
    this.store.put(TOPIC, upstream.id, entry);
  }

  unregister(): void {
    this.store.put(TOPIC, this.upstream.id);
  }

  /** Says that it leaves. */
  drain(): void {
    this.isPresent = false;
    this.register('draining');
  }

  /** Comes back as another run under the same id. */
  rejoin(): void {
    this.isPresent = true;
    this.born += 1;
    this.sequence = 0;
    this.register('ready');
  }

  async close(): Promise<void> {
    await Promise.all([this.upstream.close(), this.proxy.close()]);
  }
}
