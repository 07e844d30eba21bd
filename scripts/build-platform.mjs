// Builds target/redwingmount.cjs, the gateway in the form that the platform runs. Installs the
// packages first unless they are there.
import { spawnSync } from 'node:child_process';

import { giveUpModules, isInstalled, writeRecord } from './modules.mjs';

const NPM_ARGS = ['ci', '--silent', '--no-audit', '--no-fund'];

if (!isInstalled()) {
  giveUpModules();
  const { status, signal, error } = spawnSync('npm', NPM_ARGS, { stdio: 'inherit' });
  if (status !== 0) {
    console.error(`npm ci failed: ${error?.message ?? signal ?? `exit code ${status}`}`);
    process.exit(1);
  }
  writeRecord();
}

// Imported only here, since the bundler may have been installed just now.
const { bundle } = await import('./bundle.mjs');
// Without a source map, since the process would hold it in memory.
await bundle('platform/main.ts', 'target/redwingmount.cjs', { sourcemap: false, minify: true });
