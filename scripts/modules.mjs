// Tells whether node_modules holds all packages of package-lock.json, for this kind of machine and
// this major version of Node.js, by the record that an installation leaves in it.
import { createHash } from 'node:crypto';
import { existsSync, lstatSync, mkdirSync, readFileSync, rmSync, writeFileSync } from 'node:fs';

const MODULES = 'node_modules';
const LOCK_FILE = 'package-lock.json';
/** Written once an installation is whole. */
const RECORD_FILE = `${MODULES}/.installed.json`;

const readLock = () => readFileSync(LOCK_FILE, 'utf8');

/** Returns the record of an installation from a lock file at this machine. */
const recordFor = (lockText, { platform, arch, versions }) =>
  JSON.stringify({
    lock: createHash('sha256').update(lockText).digest('hex'),
    platform,
    arch,
    node: Number(versions.node.split('.')[0]),
  });

/**
 * Returns the folders that an installation has at this machine: those of packages that are not
 * optional, and of the bundler's program, which comes in an optional package for each machine.
 */
const foldersFor = (lockText, { platform, arch }) => {
  const bundler = `${MODULES}/@esbuild/${platform}-${arch}`;
  return Object.entries(JSON.parse(lockText).packages)
    .filter(([folder, { optional }]) => folder !== '' && (!optional || folder === bundler))
    .map(([folder]) => folder);
};

/** Returns whether there is nothing to install. */
export const isInstalled = () => {
  if (!existsSync(RECORD_FILE)) return false;
  const lockText = readLock();
  if (readFileSync(RECORD_FILE, 'utf8') !== recordFor(lockText, process)) return false;
  return foldersFor(lockText, process).every((folder) => existsSync(`${folder}/package.json`));
};

/** Prepares an installation. One in a linked folder is left as it is, since others use it. */
export const giveUpModules = () => {
  const isLink = lstatSync(MODULES, { throwIfNoEntry: false })?.isSymbolicLink();
  rmSync(isLink ? MODULES : RECORD_FILE, { force: true });
};

/** Notes that an installation has ended well. */
export const writeRecord = () => {
  mkdirSync(MODULES, { recursive: true });
  writeFileSync(RECORD_FILE, recordFor(readLock(), process));
};
