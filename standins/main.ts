/** Command line of the stand-ins: starts one and prints `listening port=N` when it is ready. */
import { parseArgs } from 'node:util';

import { startFaultProxy } from './fault-proxy';
import { startHostList } from './hosts';
import { startLog } from './log';
import { startUpstream } from './upstream';

const USAGE = `usage: standins KIND --port N [options]; port 0 takes a free one
  log          --seed N
  hosts
  upstream     --id ID --service NAME --slots N --connections N --latency-ms MS
               --probe-latency-ms MS --seed N
  fault-proxy  --target HOST:PORT --control-port N`;

const { values: flags, positionals } = parseArgs({
  allowPositionals: true,
  options: {
    port: { type: 'string', default: '0' },
    seed: { type: 'string', default: '1' },
    id: { type: 'string', default: 'upstream' },
    service: { type: 'string', default: 'service' },
    slots: { type: 'string', default: '6' },
    connections: { type: 'string', default: '350' },
    'latency-ms': { type: 'string', default: '10' },
    'probe-latency-ms': { type: 'string', default: '25' },
    target: { type: 'string', default: '' },
    'control-port': { type: 'string', default: '0' },
  },
});

const toNumber = (text: string): number => {
  const value = Number(text);
  if (text !== '' && Number.isFinite(value)) return value;
  throw new TypeError(`expected a number, got ${JSON.stringify(text)}`);
};

/** Starts the stand-in of this kind. Returns its ports by name; throws on wrong arguments. */
const start = (kind: string | undefined): Promise<Readonly<Record<string, number>>> => {
  const port = toNumber(flags.port);
  const seed = toNumber(flags.seed);
  switch (kind) {
    case 'log':
      return startLog({ port, seed }).then((log) => ({ port: log.port }));
    case 'hosts':
      return startHostList({ port }).then((hosts) => ({ port: hosts.port }));
    case 'upstream':
      return startUpstream({
        port,
        seed,
        id: flags.id,
        service: flags.service,
        slots: toNumber(flags.slots),
        connections: toNumber(flags.connections),
        latencyMs: toNumber(flags['latency-ms']),
        probeLatencyMs: toNumber(flags['probe-latency-ms']),
      }).then((upstream) => ({ port: upstream.port }));
    case 'fault-proxy': {
      const [targetHost = '', targetPort = ''] = flags.target.split(':');
      return startFaultProxy({
        port,
        controlPort: toNumber(flags['control-port']),
        targetHost,
        targetPort: toNumber(targetPort),
      }).then((proxy) => ({ port: proxy.port, controlPort: proxy.controlPort }));
    }
    case undefined:
    default:
      throw new TypeError(USAGE);
  }
};

const main = async (): Promise<void> => {
  const ports = await start(positionals[0]);
  const pairs = Object.entries(ports).map(([name, value]) => `${name}=${value}`);
  console.log(`listening ${pairs.join(' ')}`);
};

main().catch((err: unknown) => {
  console.error(err instanceof Error ? err.message : String(err));
  process.exitCode = 2;
});
