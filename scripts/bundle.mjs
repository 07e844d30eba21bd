import { readFileSync } from 'node:fs';

import { build } from 'esbuild';

const { version } = JSON.parse(readFileSync('package.json', 'utf8'));

/** Bundles a program and what it imports to one file. */
export const bundle = (entry, outfile, options = {}) =>
  build({
    entryPoints: [entry],
    outfile,
    bundle: true,
    platform: 'node',
    target: 'node20',
    format: 'cjs',
    sourcemap: 'inline',
    define: {
      REDWINGMOUNT_VERSION: JSON.stringify(version),
      // Optional native modules can't be loaded from a single executable.
      'process.env.WS_NO_BUFFER_UTIL': '"1"',
      'process.env.WS_NO_UTF_8_VALIDATE': '"1"',
      'process.env.MSGPACKR_NATIVE_ACCELERATION_DISABLED': '"true"',
    },
    logLevel: 'warning',
    ...options,
  });
