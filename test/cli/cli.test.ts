import { expect } from 'earl';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { after, afterEach, before, beforeEach, describe, it } from 'node:test';

import { EXIT, runCli } from '../../src/cli';
import { publication } from '../core/config/samples';
import { FakePlatformLog } from '../fakes/platform-log';
import { PlatformLogServer } from '../fakes/platform-log-server';

const INVENTORY_TOML = `[[upstream]]
id = "a"
service = "bookings"
dataCentre = "takoradi"
address = "127.0.0.1"
port = 1
slots = 6
connections = 350
`;

const RULES_TOML = `[[service]]
name = "bookings"
`;

interface CommandRun {
  readonly code: number;
  readonly out: string;
  readonly err: string;
}

describe('command line', () => {
  const dir = mkdtempSync(join(tmpdir(), 'redwingmount-'));
  const inventory = join(dir, 'inventory.toml');
  const rules = join(dir, 'rules.toml');
  let log = new FakePlatformLog();
  let server: PlatformLogServer | undefined;

  before(() => {
    writeFileSync(inventory, INVENTORY_TOML);
    writeFileSync(rules, RULES_TOML);
  });
  after(() => rmSync(dir, { recursive: true }));
  beforeEach(async () => {
    log = new FakePlatformLog();
    server = await PlatformLogServer.start(log);
  });
  afterEach(() => server?.stop());

  const run = async (...args: readonly string[]): Promise<CommandRun> => {
    const out: string[] = [];
    const err: string[] = [];
    const output = {
      out: (line: string) => out.push(line),
      err: (line: string) => err.push(line),
    };
    const code = await runCli(['node', 'redwingmount', ...args], output);
    return { code, out: out.join('\n'), err: err.join('\n') };
  };

  const publish = (...args: readonly string[]): Promise<CommandRun> =>
    run('publish', ...args, '--log', server?.url ?? '');

  it('explain reports a log file that it cannot read with an exit code of its own', async () => {
    const missing = join(dir, 'missing.log');
    const { code, err } = await run('explain', 'r1', missing);
    expect(code).toEqual(EXIT.fileUnreadable);
    expect(err.includes(`file-unreadable: ${missing}`)).toEqual(true);
  });

  it('publishes an inventory and rules, and reports a file without changes', async () => {
    expect(await publish('inventory', inventory)).toEqual({
      code: EXIT.ok,
      out: 'accepted version=1',
      err: '',
    });
    expect((await publish('rules', rules)).out).toEqual('accepted version=2');
    expect((await publish('rules', rules, '--json')).out).toEqual(
      '{"kind":"unchanged","version":2}',
    );
  });

  it('publishes once and reports a lost answer if the log did append', async () => {
    log.loseAnswers = 1;
    const { code, out } = await publish('inventory', inventory);
    expect(code).toEqual(EXIT.ok);
    expect(out).toEqual('accepted version=1 (an answer of the log was lost; it was read back)');
    expect(log.stream('config').next).toEqual(2);
  });

  it('refuses a file with an unknown key without an append to the log', async () => {
    const { code, err } = await publish('inventory', rules);
    expect(code).toEqual(EXIT.fileRefused);
    expect(err).toEqual(`${rules}:1: service: unknown-key: use one of upstream`);
    expect(log.stream('config').next).toEqual(0);
  });

  it('has exit codes for an unreachable log and a lost configuration, and restores it', async () => {
    log.outage = true;
    expect((await publish('inventory', inventory)).code).toEqual(EXIT.unavailable);
    log.outage = false;
    log.stream('config').append(publication('z', 0));
    log.stream('config').trim(1);
    expect((await publish('inventory', inventory)).code).toEqual(EXIT.configLost);
    const restored = await run('restore', inventory, rules, '--log', server?.url ?? '');
    expect(restored.code).toEqual(EXIT.ok);
    expect((await publish('inventory', inventory)).out).toEqual('unchanged version=2');
  });

  it('checks a file without publishing it', async () => {
    const good = await run('config', 'check', rules, '--kind', 'rules');
    expect(good.out).toEqual('rules valid services=1 routes=0 workspaces=0');
    const bad = await run('config', 'check', rules, '--json');
    expect(bad.code).toEqual(EXIT.fileRefused);
    expect(bad.out.startsWith('{"error":{"kind":"file-refused"')).toEqual(true);
  });

  it('refuses unknown commands and options and missing arguments in one line', async () => {
    for (const args of [['frob'], ['status', '--foo'], ['publish', 'inventory'], []]) {
      const { code, err } = await run(...args);
      expect(code).toEqual(EXIT.usage);
      expect(err.split('\n').length).toEqual(1);
    }
  });

  it('reports a node that cannot be reached', async () => {
    const { code, err } = await run('status', '--node', 'http://127.0.0.1:1');
    expect(code).toEqual(EXIT.unavailable);
    expect(err.startsWith('node-unreachable: ')).toEqual(true);
  });
});
