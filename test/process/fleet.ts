/** Starts a small fleet of real processes: platform, upstreams and nodes, with a configuration. */
import http from 'node:http';
import { randomUUID } from 'node:crypto';

import { CONFIG_STREAM, RECORD_FORMAT, type ConfigChange, type Rules } from '../../src/model';
import type { HostListControl } from '../../standins';

import {
  postJson,
  type Harness,
  type LogProcess,
  type NodeProcess,
  type StandInProcess,
  type UpstreamProcess,
  type UpstreamSettings,
} from './harness';

const POLL_INTERVAL_MS = 25;
const MAX_WAIT_MS = 15_000;

/** Resolves after `millis` milliseconds. */
export const pause = (millis: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, millis);
  });

/** Polls until `holds` returns true; rejects after `MAX_WAIT_MS`. */
export const waitUntil = async (
  condition: string,
  holds: () => Promise<boolean>,
): Promise<void> => {
  const deadline = Date.now() + MAX_WAIT_MS;
  while (Date.now() < deadline) {
    if (await holds().catch(() => false)) return;
    await pause(POLL_INTERVAL_MS);
  }
  throw new Error(`timed out waiting until ${condition}`);
};

/** A reply as the caller received it. */
export interface CallerReply {
  /** HTTP status; 0 when no answer came. */
  readonly status: number;
  readonly outcome: string | undefined;
  readonly reason: string | undefined;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: Buffer;
  /** Whether the connection ended before the answer was complete. */
  readonly broken: boolean;
}

export interface CallerRequest {
  readonly method?: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
  readonly agent?: http.Agent;
}

/** Returns the reply for an answer that did not end; `body` is what arrived of it. */
const brokenReply = (body: readonly Buffer[]): CallerReply => ({
  status: 0,
  outcome: undefined,
  reason: undefined,
  headers: {},
  body: Buffer.concat(body),
  broken: true,
});

const firstValue = (value: string | string[] | undefined): string | undefined =>
  Array.isArray(value) ? value[0] : value;

/** Sends one request. Never rejects: an incomplete answer or failed connection gives `broken`. */
export const send = (url: string, request: CallerRequest = {}): Promise<CallerReply> =>
  new Promise((resolve) => {
    const { method = 'GET', headers = {}, body, agent } = request;
    const chunks: Buffer[] = [];
    const length = body === undefined ? {} : { 'content-length': String(Buffer.byteLength(body)) };
    const options = { method, headers: { ...headers, ...length }, ...(agent ? { agent } : {}) };
    const req = http.request(url, options, (res) => {
      res.on('data', (chunk: Buffer) => chunks.push(chunk));
      res.on('error', () => resolve({ ...brokenReply(chunks), status: res.statusCode ?? 0 }));
      res.on('end', () =>
        resolve({
          status: res.statusCode ?? 0,
          outcome: firstValue(res.headers['redwing-outcome']),
          reason: firstValue(res.headers['redwing-reason']),
          headers: res.headers,
          body: Buffer.concat(chunks),
          broken: !res.complete,
        }),
      );
    });
    let connected = false;
    req.on('socket', (socket) => {
      connected = !socket.connecting;
      if (connected) return;
      socket.once('connect', () => {
        connected = true;
      });
    });
    req.on('error', () =>
      resolve({ ...brokenReply(chunks), reason: connected ? undefined : 'caller-connect-failed' }),
    );
    req.end(body);
  });

/** Appends changes to the configuration stream, each based on the version before it. */
export class Publisher {
  private version = 0;

  constructor(private readonly log: LogProcess) {}

  /** Returns the version that the change makes, provided that nobody else publishes. */
  async publish(change: ConfigChange): Promise<number> {
    const publishId = randomUUID();
    const base = this.version;
    const value = { kind: 'change', format: RECORD_FORMAT, publishId, base, change };
    await postJson(`${this.log.url}/streams/${CONFIG_STREAM}`, { value });
    this.version += 1;
    return this.version;
  }
}

/** Returns rules that route GET and POST below `/<service>`; `timeout` is in milliseconds. */
export const rulesFor = (services: readonly string[], timeout = 5000): Rules => ({
  services: services.map((name) => ({
    name,
    floor: 0.5,
    costRatio: 10,
    queuePerSlot: 4,
    retryRatio: 0.1,
  })),
  routes: services.flatMap((service) =>
    (['GET', 'POST'] as const).map((method) => ({
      method,
      pathPrefix: `/${service}`,
      service,
      idempotent: method === 'GET',
      timeout,
    })),
  ),
  workspaces: [],
});

export interface FleetSettings {
  /** Data centre of each node. */
  readonly nodes: readonly string[];
  readonly upstreams: readonly UpstreamSettings[];
  /** TOML appended to the settings of each node. */
  readonly nodeToml?: string;
}

export interface Fleet {
  readonly log: LogProcess;
  readonly hosts: StandInProcess<HostListControl>;
  readonly nodes: readonly NodeProcess[];
  readonly upstreams: readonly UpstreamProcess[];
  readonly publisher: Publisher;
}

/** The fields of `GET /status` that tests read. */
interface NodeStatus {
  readonly configVersion: number;
  readonly configFresh: boolean;
  readonly state: string;
  readonly inFlight: number;
  readonly members: readonly { readonly node: string; readonly state: string }[];
  readonly counters: Readonly<Record<string, number>>;
}

export const statusOf = async (node: NodeProcess): Promise<NodeStatus> =>
  (await (await fetch(`${node.operatorUrl}/status`)).json()) as NodeStatus;

/** Waits until every node has configuration `version` or a later one and sees all nodes alive. */
export const waitUntilSettled = (nodes: readonly NodeProcess[], version: number): Promise<void> =>
  waitUntil(`all nodes have version ${version}`, async () => {
    const statuses = await Promise.all(nodes.map(statusOf));
    return statuses.every(({ configVersion, configFresh, members }) => {
      const alive = members.filter(({ state }) => state === 'alive');
      return configVersion >= version && configFresh && alive.length === nodes.length;
    });
  });

/** Starts a fleet and waits until its configuration is in force at every node. */
export const startFleet = async (harness: Harness, settings: FleetSettings): Promise<Fleet> => {
  const [log, hosts] = await Promise.all([harness.startLog(), harness.startHostList()]);
  const upstreams = await Promise.all(settings.upstreams.map((one) => harness.startUpstream(one)));
  const nodes = await Promise.all(
    settings.nodes.map((dataCentre) =>
      harness.startNode({
        dataCentre,
        log: log.url,
        hosts: hosts.url,
        ...(settings.nodeToml === undefined ? {} : { toml: settings.nodeToml }),
      }),
    ),
  );
  await hosts.control({ hosts: nodes.map((node) => node.hostRow()) });
  const publisher = new Publisher(log);
  await publisher.publish({
    kind: 'inventory',
    upstreams: upstreams.map(({ id, port }, i) => ({
      id,
      service: settings.upstreams[i]?.service ?? '',
      dataCentre: settings.nodes[i % settings.nodes.length] ?? '',
      address: '127.0.0.1',
      port,
      slots: settings.upstreams[i]?.slots ?? 6,
      connections: settings.upstreams[i]?.connections ?? 350,
    })),
  });
  const services = [...new Set(settings.upstreams.map(({ service }) => service))];
  const version = await publisher.publish({ kind: 'rules', rules: rulesFor(services) });
  await waitUntilSettled(nodes, version);
  return { log, hosts, nodes, upstreams, publisher };
};
