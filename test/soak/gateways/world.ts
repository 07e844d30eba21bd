import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';

import type { FaultProxy } from '../../../standins/fault-proxy';
import { startStore, type StoreStandIn } from '../../../standins/platform';
import { configOf, freePorts, routeOf, settingsText } from '../../gateway/harness';
import { ManagedProcess } from '../../process/managed-process';

import { Callers } from './caller';
import { Ledger, type Breach } from './ledger';
import { drawSchedule, hasPromptNews, type Entry, type Fault } from './schedule';
import { breakLink, heal, proxyTo, Site } from './site';

const PROGRAM = 'dist/gateway.cjs';
const SIZES = { gateways: 4, upstreams: 5 };
/** Milliseconds, all of them. */
const REQUEST_GAP = 15;
const DEPARTURE = 2000;
const REJOIN_AFTER = 4000;
const REGISTER_AGAIN = 1000;
const RECOVERY = 15_000;
/** What the clocks and timers of one busy machine may add to a bound. */
const SLACK = 500;
/** Answers in a row that show that the fleet serves. */
const SERVED_IN_ROW = 20;

/** What a run came to. */
export interface Played {
  readonly breaches: readonly Breach[];
  readonly requests: number;
  readonly served: number;
  readonly schedule: readonly Entry[];
  /** Departures held against their bound in time. */
  readonly departures: number;
}

interface Host {
  readonly address: string;
  readonly file: string;
  readonly text: string;
  process: ManagedProcess | undefined;
  /** Processes so far. */
  life: number;
}

/** Real gateway processes between callers and stand-ins, with faults from outside them. */
export class FaultWorld {
  private readonly ledger = new Ledger();

  private readonly hosts: Host[] = [];

  private readonly sites: Site[] = [];

  private readonly storeLinks: FaultProxy[] = [];

  private version = 1;

  private sent = 0;

  private constructor(
    private readonly dir: string,
    private readonly store: StoreStandIn,
    private readonly port: number,
    private readonly callers: Callers,
  ) {}

  /** Plays one seed. `timed`: also the promises with a bound in time, which a busy machine breaks. */
  static async play(seed: number, millis: number, timed: boolean): Promise<Played> {
    const dir = await mkdtemp(join(tmpdir(), 'redwingmount-soak-'));
    const port = await freePorts(5);
    const addresses = Array.from({ length: SIZES.gateways }, (_, i) => `127.0.0.${i + 1}`);
    const callers = new Callers(addresses, port);
    const world = new FaultWorld(dir, await startStore(), port, callers);
    try {
      await world.start(addresses);
      const schedule = drawSchedule(seed, millis, SIZES);
      await world.run(schedule, millis);
      await world.recover();
      const { ledger } = world;
      const upstreams = world.sites.map(({ upstream }) => upstream);
      const isTimed = timed && hasPromptNews(seed);
      const late = isTimed ? ledger.checkDepartures(upstreams) : [];
      return {
        breaches: [...ledger.check(upstreams), ...late],
        requests: ledger.endings.length,
        served: ledger.endings.filter(({ status }) => status === 200).length,
        schedule,
        departures: isTimed ? ledger.departures.length : 0,
      };
    } finally {
      await world.close();
    }
  }

  private async start(addresses: readonly string[]): Promise<void> {
    for (let i = 0; i < SIZES.upstreams; i++) {
      this.sites.push(await Site.start(`i-${i}`, this.store));
    }
    for (const address of addresses) {
      const link = await proxyTo(this.store.port);
      this.storeLinks.push(link);
      const text = settingsText(this.port, 1)
        .replaceAll('"127.0.0.1', `"${address}`)
        .replace(`"${address}:1"`, `"127.0.0.1:${link.port}"`)
        .replace('seeds = []', 'seeds = ["127.0.0.1:1", "127.0.0.2:1"]');
      const file = join(this.dir, `${address}.toml`);
      await writeFile(file, text);
      this.hosts.push({ address, file, text, process: undefined, life: 0 });
    }
    await this.recover();
  }

  private launch(gateway: number): void {
    const host = this.hosts[gateway];
    if (!host || host.process) return;
    host.life += 1;
    const env = { REDWINGMOUNT_NODE_FILE: host.file };
    host.process = new ManagedProcess(host.address, [PROGRAM], env);
  }

  /** Each version adds a route, which shows that it is in force. */
  private configure(version: number): void {
    const added = Array.from({ length: version }, (_, i) => routeOf(`/v${i + 1}/`, 'safe'));
    const paths = [routeOf('/read/', 'safe'), routeOf('/book/', 'unsafe'), ...added];
    this.store.put('keyed.op', 'config', configOf(version, paths));
  }

  private async run(schedule: readonly Entry[], millis: number): Promise<void> {
    const startedAt = Date.now();
    const faults = schedule.map(async ({ at, lasts, fault }) => {
      await sleep(at);
      await this.apply(fault, lasts);
    });
    const requests: Promise<void>[] = [];
    while (Date.now() - startedAt < millis) {
      requests.push(this.request());
      await sleep(REQUEST_GAP);
    }
    await Promise.all([...faults, ...requests]);
  }

  private async apply(fault: Fault, lasts: number): Promise<void> {
    switch (fault.kind) {
      case 'kill':
      case 'stop':
        return this.endProcess(fault.gateway, fault.kind, lasts);
      case 'pause': {
        const paused = this.hosts[fault.gateway]?.process;
        paused?.freeze();
        await sleep(lasts);
        paused?.thaw();
        return undefined;
      }
      case 'reload': {
        const host = this.hosts[fault.gateway];
        if (!host) return undefined;
        await writeFile(host.file, `${host.text}\n# ${Date.now()}\n`);
        // It may have ended meanwhile.
        host.process?.reload();
        return undefined;
      }
      case 'store':
        this.store.mood = fault.mood;
        await sleep(lasts);
        this.store.mood = 'well';
        return undefined;
      case 'store-link':
        return breakLink(this.storeLinks[fault.gateway], fault.link, lasts);
      case 'upstream': {
        const upstream = this.sites[fault.upstream]?.upstream;
        if (!upstream) return undefined;
        upstream.mood = fault.mood;
        await sleep(lasts);
        upstream.mood = 'well';
        return undefined;
      }
      case 'upstream-link':
        return breakLink(this.sites[fault.upstream]?.proxy, fault.link, lasts);
      case 'departure':
        return this.depart(this.sites[fault.upstream]);
      case 'lapse':
        return this.lapse(lasts);
      case 'config':
        this.version += 1;
        this.configure(this.version);
        return undefined;
      case 'old-config':
        if (this.version > 1) this.configure(this.version - 1);
        return undefined;
      case 'compaction':
        this.store.compact('keyed.servers');
        this.store.compact('keyed.op');
        return undefined;
    }
  }

  private async endProcess(gateway: number, how: 'kill' | 'stop', lasts: number): Promise<void> {
    const host = this.hosts[gateway];
    const ended = host?.process;
    if (!host || !ended) return;
    host.process = undefined;
    ended.thaw();
    if (how === 'stop') this.ledger.stopping(gateway, host.life);
    await (how === 'stop' ? ended.stop() : ended.kill());
    await sleep(lasts);
    this.launch(gateway);
  }

  private async depart(site: Site | undefined): Promise<void> {
    if (!site?.isPresent) return;
    const by = Date.now() + DEPARTURE + SLACK;
    site.drain();
    await sleep(DEPARTURE / 2);
    site.unregister();
    await sleep(REJOIN_AFTER - DEPARTURE / 2);
    this.ledger.departures.push({ id: site.upstream.id, by, until: Date.now() });
    site.rejoin();
  }

  private async lapse(lasts: number): Promise<void> {
    this.store.mood = 'busy';
    const present = this.sites.filter(({ isPresent }) => isPresent);
    present.forEach((site) => site.unregister());
    await sleep(lasts);
    this.store.mood = 'well';
    await sleep(REGISTER_AGAIN);
    present.filter(({ isPresent }) => isPresent).forEach((site) => site.register('ready'));
  }

  private async request(): Promise<void> {
    this.sent += 1;
    const n = this.sent;
    const asked = n % 10 === 0 ? this.version : 0;
    const kind = asked > 0 || n % 3 === 0 ? 'safe' : 'unsafe';
    const gateway = await this.callers.choose();
    const host = this.hosts[gateway];
    if (!host) return;
    const { life } = host;
    const plain = kind === 'safe' ? '/read/x' : '/book/x';
    const path = asked > 0 ? `/v${asked}/x` : plain;
    const seen = await this.callers.send(`r-${n}`, kind, path, gateway);
    const isVersionUnknown = asked > 0 && seen.status === 404;
    if (asked > 0 && seen.status > 0 && host.life === life) {
      this.ledger.sawVersion(gateway, life, asked, !isVersionUnknown);
    }
    if (!isVersionUnknown) this.ledger.endings.push({ ...seen, kind, gateway, life });
  }

  /** Ends all faults, and waits until the fleet serves again. */
  private async recover(): Promise<void> {
    this.store.mood = 'well';
    this.configure(this.version);
    this.sites.forEach(({ upstream }) => Object.assign(upstream, { mood: 'well' }));
    await Promise.all([...this.storeLinks, ...this.sites.map(({ proxy }) => proxy)].map(heal));
    this.hosts.forEach((_, gateway) => this.launch(gateway));
    const deadline = Date.now() + RECOVERY;
    let inRow = 0;
    while (inRow < SERVED_IN_ROW && Date.now() < deadline) {
      const before = this.ledger.endings.length;
      await this.request();
      const last = this.ledger.endings.at(-1);
      inRow = this.ledger.endings.length > before && last?.status === 200 ? inRow + 1 : 0;
      await sleep(REQUEST_GAP);
    }
    if (inRow === SERVED_IN_ROW) return;
    const detail = this.hosts.map(({ process: each }) => each?.tail(5)).join('\n');
    this.ledger.breaches.push({ promise: 'all is served when faults are over', detail });
  }

  private async close(): Promise<void> {
    this.callers.close();
    await Promise.all(this.hosts.map(({ process: each }) => each?.kill()));
    await Promise.all([
      this.store.close(),
      ...this.storeLinks.map((link) => link.close()),
      ...this.sites.map((site) => site.close()),
    ]);
    await rm(this.dir, { recursive: true });
  }
}
