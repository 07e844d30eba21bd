/** Starts gateways as the deploy file says, each on a loopback address of its own. */
import { spawn } from 'node:child_process';
import { readFileSync, writeFileSync } from 'node:fs';
import { get } from 'node:http';
import { join, resolve } from 'node:path';

import { pause } from './net.mjs';

const ROOT = resolve(import.meta.dirname, '../..');
const READY_TIMEOUT_MS = 15_000;
const READY_POLL_MS = 50;

/** Ports of a gateway: offsets from the first one of its address. */
const PORTS = { front: 0, readiness: 1, control: 2, directory: 3, internal: 4 };
/** Number of consecutive ports that a gateway needs. */
export const PORTS_PER_GATEWAY = 6;

const runCommand = () => {
  const text = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
  const match = /^run = "([^"]+)"$/m.exec(text);
  if (!match) throw new Error('deploy/system.toml has no run line');
  return match[1].split(' ');
};

const boundsOf = (values) => Object.entries(values).map(([name, value]) => `${name}=${value}`);

const settingsText = ({ name, address, first, zone, zones, seeds, store, bounds, memoryMb }) =>
  [
    `nodeName = "${name}"`,
    'role = "gateway"',
    'machineClass = "edge"',
    'serves = ["edge","control","directory"]',
    `ip = "${address}"`,
    `zone = "${zone}"`,
    'region = "loop"',
    `portRange = [${first + PORTS.internal},${first + PORTS.internal + 1}]`,
    `seeds = ${JSON.stringify(seeds.map((seed) => `${seed}:${first + PORTS.control}`))}`,
    'bootstrap = true',
    'discovery = "platform"',
    'entry = "directory"',
    'heartbeatMs = 1500',
    `bounds = ${JSON.stringify(boundsOf(bounds))}`,
    '[zones]',
    ...zones.map((one) => `${one} = "loop"`),
    '[listen]',
    ...['front', 'readiness', 'control', 'directory'].map(
      (port) => `${port} = "${address}:${first + PORTS[port]}"`,
    ),
    '[limits]',
    'cpuShare = 0.54',
    'cpuCores = 1',
    `memoryMb = ${memoryMb}`,
    'maxFds = 4100',
    'linkMbps = 1000.0',
    'diskMb = 0',
    '[platform]',
    `address = "${store.address}:${store.port}"`,
    'form = "log"',
    '',
  ].join('\n');

const COMMON_BOUNDS = {
  seedLagS: 3,
  addrReuseS: 2,
  stabilityWindowMs: 3000,
  graceS: 6,
  lossSlackMs: 200,
  rollbackSlackMs: 250,
  skewMaxMs: 5000,
  retryBudgetRatio: 0.2,
  budgetWindowS: 10,
  recoverS: 15,
  ttl_max_s: 5,
  probesPerS: 3,
  floorShare: 0.7,
};
const GROWN_BOUNDS = { ackMs: 5000, catchUpS: 6, drainMs: 2500, configApplyMs: 2500 };

/**
 * The bounds of the deployments `asl-gateway`, `tmd-gateway-grown` and `sharaka-wakala-grown`, as on
 * their pages.
 */
export const BOUNDS = {
  asl: {
    ...COMMON_BOUNDS,
    ackMs: 4000,
    catchUpS: 4,
    drainMs: 2000,
    configApplyMs: 2000,
    budgetMinRetries: 60,
  },
  tmd: { ...COMMON_BOUNDS, ...GROWN_BOUNDS, budgetMinRetries: 330 },
  wakala: { ...COMMON_BOUNDS, ...GROWN_BOUNDS, budgetMinRetries: 220 },
};

const running = new Set();
process.on('exit', () => running.forEach((child) => child.kill('SIGKILL')));
['SIGINT', 'SIGTERM'].forEach((signal) => process.on(signal, () => process.exit(2)));

/** A gateway process; `exit` is set once the process has ended. */
export class Gateway {
  exit;

  log = [];

  constructor(options) {
    this.options = {
      memoryMb: 350,
      zone: 'loop-a',
      zones: ['loop-a'],
      bounds: BOUNDS.asl,
      ...options,
    };
    this.address = options.address;
    this.front = options.first + PORTS.front;
    this.readiness = options.first + PORTS.readiness;
    this.directory = options.first + PORTS.directory;
  }

  start() {
    const { name, folder } = this.options;
    const file = join(folder, `${name}.toml`);
    writeFileSync(file, settingsText(this.options));
    const [command, ...args] = runCommand();
    this.exit = undefined;
    this.child = spawn(command, args, {
      cwd: ROOT,
      stdio: ['ignore', 'pipe', 'pipe'],
      env: { PATH: process.env.PATH, HOME: process.env.HOME, REDWINGMOUNT_NODE_FILE: file },
    });
    const { child } = this;
    running.add(child);
    child.stdout.on('data', (chunk) => this.log.push(chunk.toString()));
    child.stderr.on('data', (chunk) => this.log.push(chunk.toString()));
    this.ended = new Promise((done) => {
      child.once('close', (code, signal) => {
        running.delete(child);
        this.exit = { code, signal, at: Date.now() };
        done(this.exit);
      });
    });
  }

  isReady() {
    return new Promise((done) => {
      const { address: host, readiness: port } = this;
      const req = get({ host, port, path: '/redwingmount/ready', agent: false }, (res) => {
        res.resume();
        done(res.statusCode === 200);
      });
      req.setTimeout(1000, () => req.destroy());
      req.on('error', () => done(false));
    });
  }

  async waitUntilReady() {
    const deadline = Date.now() + READY_TIMEOUT_MS;
    while (Date.now() < deadline) {
      if (await this.isReady()) return;
      if (this.exit) throw new Error(`${this.options.name} ended: ${this.log.join('')}`);
      await pause(READY_POLL_MS);
    }
    throw new Error(`${this.options.name} did not become ready: ${this.log.join('')}`);
  }

  async kill() {
    if (!this.child || this.exit) return;
    this.child.kill('SIGKILL');
    await this.ended;
  }
}
