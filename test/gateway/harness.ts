/** Runs a gateway in the test's process, with stand-ins for the platform's store and upstreams. */
import http from 'node:http';

import {
  configFeed,
  decodeConfigRecord,
  headerConventions,
  directoryCodec,
  parseSettings,
  readinessCodec,
  StoreClient,
  upstreamFeed,
  upstreamRecordDecoder,
} from '../../platform';
import { systemClock } from '../../src/adapters';
import { Gateway } from '../../src/gateway';
import { ReadingTurns } from '../../src/gateway/reading-turns';
import { HostMemory } from '../../src/gateway/memory';
import type { ConnectionContext } from '../../src/gateway/sending/upstream-connection';
import type { DisabledMechanisms } from '../../src/model';
import type { Clock, EventField, Telemetry } from '../../src/ports';
import {
  startPlatformUpstream,
  startStore,
  type PlatformUpstream,
  type StoreStandIn,
} from '../../standins/platform';
import { reservePorts } from '../ports';

const ADDRESS = '127.0.0.1';
const HOST = 'shop.example';
/** Number of bytes of an answer that are kept; the rest is read and dropped. */
const MAX_KEPT_BYTES = 64 * 2 ** 20;

/** An answer as a caller received it; `isTruncated` if the connection closed before its end. */
export interface SeenAnswer {
  readonly status: number;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: string;
  readonly isTruncated: boolean;
}

/** An event that the gateway has logged. */
export interface RecordedEvent {
  readonly name: string;
  readonly fields: Readonly<Record<string, EventField>>;
}

/** Creates a telemetry that records events for tests to check, and drops all metrics. */
export const recordingTelemetry = (): Telemetry & { readonly events: RecordedEvent[] } => {
  const events: RecordedEvent[] = [];
  return {
    events,
    event: (name, fields = {}) => events.push({ name, fields }),
    count: () => {},
    gauge: () => {},
    latency: () => {},
  };
};

/** A caller of exchanges whose request does not end. */
export const SOME_CALLER = {
  caller: { kind: 'caller', id: 'c' },
  requestEnded: new AbortController().signal,
} as const;

const BOUNDS = [
  'drainMs=2000',
  'graceS=3',
  'retryBudgetRatio=0.2',
  'budgetWindowS=10',
  'budgetMinRetries=60',
  'ttl_max_s=5',
  'floorShare=0.7',
];

/**
 * Returns the text of a platform's settings file for a gateway with five consecutive ports, the
 * first of which is that for callers.
 */
export const settingsText = (
  callers: number,
  storePort: number,
  seeds: readonly string[] = [],
): string =>
  [
    'nodeName = "edge-1"',
    `ip = "${ADDRESS}"`,
    'zone = "takoradi"',
    `portRange = [${callers + 3}, ${callers + 4}]`,
    `seeds = ${JSON.stringify(seeds)}`,
    `bounds = ${JSON.stringify(BOUNDS)}`,
    '[listen]',
    `front = "${ADDRESS}:${callers}"`,
    `readiness = "${ADDRESS}:${callers + 1}"`,
    `directory = "${ADDRESS}:${callers + 2}"`,
    '[platform]',
    `address = "${ADDRESS}:${storePort}"`,
  ].join('\n');

/** Returns what connections share, with an account of its own and turns that follow at once. */
export const connectionContext = (idHeader: string, clock: Clock): ConnectionContext => {
  const settings = parseSettings('test', settingsText(8000, 9000)).unsafeCoerce();
  const memory = new HostMemory({ settings, clock, telemetry: recordingTelemetry() });
  return { idHeader, clock, memory, turns: new ReadingTurns(clock) };
};

/** Returns a route as it stands in a configuration of the operators. */
export const routeOf = (
  pathPrefix: string,
  routeType: string,
  more: Readonly<Record<string, unknown>> = {},
): object => ({
  name: `r${pathPrefix}`,
  pathPrefix,
  routeType,
  timeoutMs: 2000,
  targetLatencyMs: 1000,
  priority: 1,
  service: 'shop',
  maxAttempts: 2,
  ...more,
});

/** Returns a configuration with one service and one host, as it stands in the store. */
export const configOf = (version: number, paths: readonly object[]): object => ({
  version: version.toString(16).padStart(8, '0'),
  services: [{ name: 'shop', healthPath: '/health', maxConnections: 100 }],
  limits: {
    maxHeaderBytes: 16384,
    maxBodyBytes: 65536,
    headerTimeoutMs: 3000,
    idleTimeoutMs: 15000,
  },
  virtualHosts: [{ host: HOST, paths }],
});

/** Returns an upstream's entry as it stands in the store. */
export const entryOf = (
  upstream: PlatformUpstream,
  more: { readonly state?: string; readonly sequence?: number; readonly born?: number } = {},
): object => ({
  address: `${ADDRESS}:${upstream.port}`,
  info: { service: 'shop', version: 'v1', zone: 'takoradi', slots: 6 },
  status: { state: more.state ?? 'ready', sequence: more.sequence ?? 1, warmupLeftMs: 0 },
  born: more.born ?? 1,
});

/** Sends a GET request to a port of the gateway. */
export const httpGet = async (
  port: number,
  path: string,
): Promise<{ readonly status: number; readonly body: string }> => {
  const res = await fetch(`http://${ADDRESS}:${port}${path}`);
  return { status: res.status, body: await res.text() };
};

/** Where a gateway of several runs, and what it shares with the others. */
export interface HarnessOptions {
  /** An address of loopback; 127.0.0.1 by default. */
  readonly address?: string;
  /** The first of five free ports, the same for all gateways of a fleet. */
  readonly callersPort?: number;
  /** Addresses of the fleet's gateways. */
  readonly seeds?: readonly string[];
  /** Upstreams that other gateways use too; the harness that started them closes them. */
  readonly upstreams?: readonly PlatformUpstream[];
  /** Returns the port at which this gateway reaches an upstream. */
  readonly portOf?: (upstream: PlatformUpstream) => number;
  /** A store that other gateways use too; the harness that started it closes it. */
  readonly store?: StoreStandIn;
  /** The port at which this gateway reaches the store; the store's own by default. */
  readonly storePort?: number;
  /** Bounds in the settings beside the usual ones. */
  readonly bounds?: readonly string[];
  /** Mechanisms to switch off. */
  readonly disabled?: DisabledMechanisms;
}

/** A gateway in this process, with its store, upstreams and recorded events. */
export class GatewayHarness {
  private constructor(
    readonly store: StoreStandIn,
    readonly upstreams: readonly PlatformUpstream[],
    readonly gateway: Gateway,
    readonly telemetry: ReturnType<typeof recordingTelemetry>,
    readonly ports: {
      readonly callers: number;
      readonly readiness: number;
      readonly directory: number;
    },
    private readonly client: StoreClient,
    private readonly options: HarnessOptions,
  ) {}

  /**
   * Starts a gateway and its surroundings. With `paths`, puts a configuration with these routes in
   * force and registers the upstreams before it resolves.
   */
  static async start(
    upstreamCount: number,
    paths?: readonly object[],
    options: HarnessOptions = {},
  ): Promise<GatewayHarness> {
    const store = options.store ?? (await startStore());
    const upstreams =
      options.upstreams ??
      (await Promise.all(
        Array.from({ length: upstreamCount }, async (_, i) =>
          startPlatformUpstream(`i-${i}`, await reservePorts(1)),
        ),
      ));
    const callers = options.callersPort ?? (await reservePorts(5));
    const [readiness, directory] = [callers + 1, callers + 2];
    const seeds = (options.seeds ?? []).map((seed) => `${seed}:${callers}`);
    const text = settingsText(callers, 1, seeds)
      .replaceAll(`"${ADDRESS}`, `"${options.address ?? ADDRESS}`)
      .replace(/(\[platform\]\naddress = ).*/, `$1"${ADDRESS}:${options.storePort ?? store.port}"`)
      .replace(/seeds = .*/, `seeds = ${JSON.stringify(seeds)}`)
      .replace(/bounds = .*/, `bounds = ${JSON.stringify([...BOUNDS, ...(options.bounds ?? [])])}`);
    const settings = parseSettings('test', text).unsafeCoerce();
    const telemetry = recordingTelemetry();
    const clock = systemClock;
    const context = {
      settings,
      clock,
      telemetry,
      headerConventions,
      random: Math.random,
      disabled: options.disabled,
    };
    const memory = new HostMemory(context);
    const client = new StoreClient(settings.store, clock, memory);
    const gateway = new Gateway(context, {
      configFeed: configFeed(client),
      upstreamFeed: upstreamFeed(client),
      decodeConfig: decodeConfigRecord,
      decodeUpstreams: upstreamRecordDecoder(clock, telemetry),
      directoryCodec,
      readinessCodec,
      memory,
      metrics: () => Promise.resolve(''),
    });
    const harness = new GatewayHarness(
      store,
      upstreams,
      gateway,
      telemetry,
      { callers, readiness, directory },
      client,
      options,
    );
    await gateway.start();
    if (paths) {
      harness.configure(1, paths);
      upstreams.forEach((upstream) => harness.register(upstream));
      await harness.until(() => harness.count('upstream-joined') === upstreamCount);
      await harness.until(() => harness.count('config-in-force') === 1);
    }
    return harness;
  }

  /** Stores a configuration; `more` are fields beside the usual ones. */
  configure(
    version: number,
    paths: readonly object[],
    more: Readonly<Record<string, unknown>> = {},
  ): void {
    this.store.put('keyed.op', 'config', { ...configOf(version, paths), ...more });
  }

  /** Stores the entry of an upstream. */
  register(upstream: PlatformUpstream, more: Parameters<typeof entryOf>[1] = {}): void {
    const port = this.options.portOf?.(upstream) ?? upstream.port;
    this.store.put(
      'keyed.servers',
      upstream.id,
      entryOf({ ...upstream, id: upstream.id, port }, more),
    );
  }

  /** Returns the number of recorded events with a name. */
  count(name: string): number {
    return this.telemetry.events.filter((event) => event.name === name).length;
  }

  /** Returns how often the upstreams have run the request with an id. */
  runsOf(id: string): number {
    return this.upstreams.flatMap(({ runs }) => runs).filter((run) => run.id === id).length;
  }

  /** Waits until a condition holds; rejects after 10 seconds. */
  async until(condition: () => boolean): Promise<void> {
    const deadline = Date.now() + 10_000;
    while (!condition()) {
      if (Date.now() > deadline) {
        throw new Error(
          `condition not met within 10 s: ${condition.toString()}\n${JSON.stringify(this.telemetry.events.slice(-10))}`,
        );
      }
      await new Promise((resolve) => {
        setTimeout(resolve, 10);
      });
    }
  }

  /** Sends a request through the gateway as a caller; resolves when its connection has closed. */
  request(
    id: string,
    path: string,
    options: {
      readonly method?: string;
      readonly body?: string;
      readonly headers?: Readonly<Record<string, string>>;
      readonly agent?: http.Agent;
      readonly deadlineMs?: number;
      readonly signal?: AbortSignal;
    } = {},
  ): Promise<SeenAnswer> {
    return new Promise((resolve, reject) => {
      const req = http.request(
        {
          host: this.options.address ?? ADDRESS,
          port: this.ports.callers,
          method: options.method ?? 'GET',
          path,
          agent: options.agent ?? false,
          ...(options.signal ? { signal: options.signal } : {}),
          headers: {
            host: HOST,
            'x-redwingmount-request-id': id,
            'x-redwingmount-deadline-ms': String(options.deadlineMs ?? 3000),
            ...options.headers,
          },
        },
        (res) => {
          const chunks: Buffer[] = [];
          let size = 0;
          const done = (): void =>
            resolve({
              status: res.statusCode ?? 0,
              headers: res.headers,
              body: Buffer.concat(chunks).toString('utf8'),
              isTruncated: !res.complete,
            });
          res.on('data', (chunk: Buffer) => {
            size += chunk.length;
            if (size <= MAX_KEPT_BYTES) chunks.push(chunk);
          });
          res.on('error', () => {});
          res.on('close', done);
        },
      );
      req.on('error', reject);
      req.end(options.body);
    });
  }

  async close(): Promise<void> {
    await this.gateway.stop();
    this.client.close();
    const own = this.options.upstreams ? [] : this.upstreams;
    const stores = this.options.store ? [] : [this.store];
    await Promise.all([...stores, ...own].map((standIn) => standIn.close()));
  }
}
