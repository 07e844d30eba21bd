import { expect } from 'earl';
import { spawnSync } from 'node:child_process';
import {
  cpSync,
  existsSync,
  mkdirSync,
  mkdtempSync,
  readFileSync,
  readdirSync,
  renameSync,
  rmSync,
  symlinkSync,
  utimesSync,
  writeFileSync,
} from 'node:fs';
import { tmpdir } from 'node:os';
import { delimiter, join, resolve } from 'node:path';
import { afterEach, beforeEach, describe, it } from 'node:test';
import { parse } from 'smol-toml';

const BUILD_TIMEOUT_MS = 60_000;

const bundlerFor = (arch: string): string => `node_modules/@esbuild/${process.platform}-${arch}`;
const BUNDLER = bundlerFor(process.arch);
const OTHER_BUNDLER = bundlerFor(process.arch === 'arm64' ? 'x64' : 'arm64');
/** Files that the bundler needs to run; the program of its package is linked. */
const BUNDLER_FILES = ['node_modules/esbuild/package.json', 'node_modules/esbuild/lib'];

/** Stands in for npm: notes its arguments, and installs from `packages`, in part while `broken` exists. */
const NPM = `#!/bin/sh
echo "$@" >> ../npm-calls
mkdir -p node_modules
rm -rf node_modules/*
if [ -e ../broken ]; then cp -R ../packages/node_modules/esbuild node_modules/; exit 1; fi
cp -R ../packages/node_modules/. node_modules/
`;

const buildLine = (): string => {
  const { build } = parse(readFileSync('deploy/system.toml', 'utf8'));
  if (typeof build !== 'string') throw new Error(`expected a build line, got ${String(build)}`);
  return build;
};

/** Returns the environment without the settings of an npm that runs the tests. */
const environment = (): NodeJS.ProcessEnv =>
  Object.fromEntries(Object.entries(process.env).filter(([name]) => !name.startsWith('npm_')));

const lockOf = (names: readonly string[], version = '1.0.0'): string => {
  const packages = Object.fromEntries(
    names.map((name) => [name, { version, ...(name.includes('@') && { optional: true }) }]),
  );
  return JSON.stringify({ lockfileVersion: 3, packages: { '': {}, ...packages } });
};

describe('platform build', () => {
  let dir = '';
  let root = '';

  const lock = (): string => join(root, 'package-lock.json');
  const modules = (name = ''): string => join(root, 'node_modules', name);

  /** Puts the packages that the stand-in for npm installs into `packages`. */
  const writePackages = (): void => {
    const packages = join(dir, 'packages');
    BUNDLER_FILES.forEach((path) => cpSync(path, join(packages, path), { recursive: true }));
    const bundler = join(packages, BUNDLER);
    mkdirSync(join(bundler, 'bin'), { recursive: true });
    cpSync(join(BUNDLER, 'package.json'), join(bundler, 'package.json'));
    symlinkSync(resolve(BUNDLER, 'bin/esbuild'), join(bundler, 'bin/esbuild'));
  };

  /** Makes `node_modules` newer than the lock file. */
  const touchModules = (): void => {
    utimesSync(lock(), 1, 1);
    utimesSync(modules(), 2, 2);
  };

  beforeEach(() => {
    dir = mkdtempSync(join(tmpdir(), 'redwingmount-build-'));
    root = join(dir, 'root');
    mkdirSync(join(root, 'platform'), { recursive: true });
    mkdirSync(join(root, 'scripts'));
    readdirSync('scripts')
      .filter((name) => name.endsWith('.mjs'))
      .forEach((name) => cpSync(join('scripts', name), join(root, 'scripts', name)));
    cpSync('package.json', join(root, 'package.json'));
    writeFileSync(join(root, 'platform/main.ts'), 'export const answer: number = 42;\n');
    writeFileSync(lock(), lockOf(['node_modules/esbuild', BUNDLER, OTHER_BUNDLER]));
    writePackages();
    mkdirSync(join(dir, 'bin'));
    writeFileSync(join(dir, 'bin/npm'), NPM, { mode: 0o755 });
  });

  afterEach(() => rmSync(dir, { recursive: true, force: true }));

  /** Runs the build line; returns whether it succeeded and whether it started npm. */
  const build = (): { readonly succeeded: boolean; readonly installed: boolean } => {
    rmSync(join(root, 'target'), { recursive: true, force: true });
    rmSync(join(dir, 'npm-calls'), { force: true });
    const { PATH, ...env } = environment();
    const { status } = spawnSync('sh', ['-c', buildLine()], {
      cwd: root,
      env: { ...env, PATH: `${join(dir, 'bin')}${delimiter}${PATH}` },
      timeout: BUILD_TIMEOUT_MS,
    });
    const hasProgram = existsSync(join(root, 'target/redwingmount.cjs'));
    return {
      succeeded: status === 0 && hasProgram,
      installed: existsSync(join(dir, 'npm-calls')),
    };
  };

  /** Changes what the record of the installation says. */
  const editRecord = (edit: (record: Record<string, unknown>) => Record<string, unknown>): void => {
    const path = modules('.installed.json');
    const record = JSON.parse(readFileSync(path, 'utf8')) as Record<string, unknown>;
    writeFileSync(path, JSON.stringify(edit(record)));
  };

  it('installs in a clean checkout, and not again', () => {
    expect(build()).toEqual({ succeeded: true, installed: true });
    touchModules();
    expect(build()).toEqual({ succeeded: true, installed: false });
  });

  it('installs anew over packages of another kind of machine', () => {
    build();
    renameSync(join(root, BUNDLER), join(root, OTHER_BUNDLER));
    touchModules();
    expect(build()).toEqual({ succeeded: true, installed: true });
  });

  it('installs anew over packages whose record names another kind of machine', () => {
    build();
    editRecord((record) => ({ ...record, arch: 'other' }));
    touchModules();
    expect(build()).toEqual({ succeeded: true, installed: true });
  });

  it('installs anew over packages of another major version of Node.js', () => {
    build();
    editRecord((record) => ({ ...record, node: 18 }));
    touchModules();
    expect(build()).toEqual({ succeeded: true, installed: true });
  });

  it('fails if an installation breaks off, and installs anew after it', () => {
    writeFileSync(join(dir, 'broken'), '');
    expect(build()).toEqual({ succeeded: false, installed: true });
    rmSync(join(dir, 'broken'));
    touchModules();
    expect(build()).toEqual({ succeeded: true, installed: true });
  });

  it('does not take a broken-off installation over a whole one for whole', () => {
    build();
    writeFileSync(lock(), lockOf(['node_modules/esbuild', BUNDLER], '2.0.0'));
    writeFileSync(join(dir, 'broken'), '');
    expect(build()).toEqual({ succeeded: false, installed: true });
    rmSync(join(dir, 'broken'));
    touchModules();
    expect(build()).toEqual({ succeeded: true, installed: true });
  });

  it('installs anew where a package is missing', () => {
    build();
    rmSync(modules('esbuild'), { recursive: true });
    touchModules();
    expect(build()).toEqual({ succeeded: true, installed: true });
  });

  it('installs anew over packages of an older lock file', () => {
    build();
    writeFileSync(lock(), lockOf(['node_modules/esbuild', BUNDLER], '2.0.0'));
    touchModules();
    expect(build()).toEqual({ succeeded: true, installed: true });
  });

  it('installs anew over packages without a record or with a broken one', () => {
    build();
    rmSync(modules('.installed.json'), { force: true });
    touchModules();
    expect(build()).toEqual({ succeeded: true, installed: true });
    writeFileSync(modules('.installed.json'), '{"lock":');
    touchModules();
    expect(build()).toEqual({ succeeded: true, installed: true });
  });

  it('leaves packages alone that a link shares with another folder', () => {
    build();
    const shared = join(dir, 'shared');
    renameSync(modules(), shared);
    rmSync(join(shared, '.installed.json'));
    symlinkSync(shared, join(root, 'node_modules'));
    utimesSync(lock(), 1, 1);
    expect(build()).toEqual({ succeeded: true, installed: true });
    expect(existsSync(join(shared, 'esbuild/package.json'))).toEqual(true);
    expect(existsSync(join(shared, '.installed.json'))).toEqual(false);
  });

  it('accepts what `npm ci` has installed', () => {
    const { scripts } = JSON.parse(readFileSync('package.json', 'utf8')) as {
      readonly scripts: Readonly<Record<string, string>>;
    };
    const manifest = { name: 'empty', version: '1.0.0' };
    const { prepare } = scripts;
    writeFileSync(
      join(root, 'package.json'),
      JSON.stringify({ ...manifest, scripts: { prepare } }),
    );
    writeFileSync(lock(), JSON.stringify({ lockfileVersion: 3, packages: { '': manifest } }));
    const flags = ['--offline', '--no-audit', '--no-fund', '--no-update-notifier'];
    const npm = spawnSync('npm', ['ci', ...flags], { cwd: root, env: environment() });
    expect(npm.status).toEqual(0);
    touchModules();
    // There is no bundler, so the build itself fails.
    expect(build()).toEqual({ succeeded: false, installed: false });
  });
});
