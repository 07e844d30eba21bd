/** A small deployment on loopback: a store, backends and gateways; and the record of a case. */
import { setTimeout } from 'node:timers';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import { Gateway, PORTS_PER_GATEWAY } from './gateway.mjs';
import { freePorts } from './net.mjs';
import { Store } from './store.mjs';

/** Whether the case runs with its disruption. */
export const HAS_TROUBLE = process.env.TROUBLE !== '0';

/** Returns a route as it stands in the operator's configuration. */
export const routeOf = (name, pathPrefix, routeType, service, more = {}) => ({
  name,
  pathPrefix,
  routeType,
  timeoutMs: 3000,
  targetLatencyMs: 1000,
  priority: 1,
  service,
  maxAttempts: 2,
  ...more,
});

/** Returns the operator's configuration. */
export const configOf = (version, host, paths) => ({
  version: version.toString(16).padStart(8, '0'),
  services: [...new Set(paths.map(({ service }) => service))].map((name) => ({
    name,
    healthPath: '/health',
    maxConnections: 1800,
    protocol: 'h1',
    tls: false,
  })),
  limits: {
    maxHeaderBytes: 16384,
    maxBodyBytes: 67108864,
    headerTimeoutMs: 3000,
    idleTimeoutMs: 15000,
  },
  virtualHosts: [{ host, paths }],
});

/** The stand-ins and gateways of one run. */
export class Scene {
  lines = [];

  folder = mkdtempSync(join(tmpdir(), 'review-'));

  store = new Store();

  gateways = [];

  startedAt = Date.now();

  constructor(caseFolder) {
    this.recordFile = join(caseFolder, 'record.txt');
    process.on('exit', () => rmSync(this.folder, { recursive: true, force: true }));
  }

  /** Notes what was sent, answered or run. */
  note(text) {
    this.lines.push(`${String(Date.now() - this.startedAt).padStart(6)} ms  ${text}`);
  }

  async startStore() {
    await this.store.start('127.0.0.1');
  }

  async startBackends(backends) {
    for (const backend of backends) {
      await backend.start();
      backend.register(this.store);
    }
  }

  /** Starts a gateway on each loopback address and waits until all are ready. */
  async startGateways(addresses, options = {}) {
    const first = await freePorts(addresses, PORTS_PER_GATEWAY);
    this.gateways = addresses.map(
      (address, i) =>
        new Gateway({
          name: `edge-${i + 1}`,
          address,
          first,
          seeds: addresses.slice(0, 3),
          store: this.store,
          folder: this.folder,
          ...options,
          ...(options.zones ? { zone: options.zones[i % options.zones.length] } : {}),
        }),
    );
    this.gateways.forEach((gateway) => gateway.start());
    for (const gateway of this.gateways) await gateway.waitUntilReady();
  }

  /** Writes the record, ends all processes and exits: 1 if the rule was broken, else 0. */
  async finish(isBroken, summary) {
    this.note(summary);
    this.note(isBroken ? 'RULE BROKEN' : 'rule held');
    for (const gateway of this.gateways) await gateway.kill();
    writeFileSync(this.recordFile, `${this.lines.join('\n')}\n`);
    process.stdout.write(`${isBroken ? 'broken' : 'held'}: ${summary}\n`);
    process.exit(isBroken ? 1 : 0);
  }
}

/** Time in milliseconds after which a case that has not ended counts as one that can't run. */
const MAX_RUN_MS = 110_000;

/** Runs a case; one that can't run, or doesn't end, exits with 2. */
export const play = (run) => {
  const giveUp = (err) => {
    process.stderr.write(`${err?.stack ?? err}\n`);
    process.exit(2);
  };
  setTimeout(() => giveUp(new Error('the case did not end in time')), MAX_RUN_MS).unref();
  process.on('uncaughtException', giveUp);
  run().catch(giveUp);
};
