// Bundles the command line to dist/redwingmount.cjs, a gateway to dist/gateway.cjs and the
// stand-ins for the platform and upstreams to dist/standins.cjs. With --binary, also builds the
// single executable dist/redwingmount.
import { execFileSync } from 'node:child_process';
import { chmodSync, copyFileSync, mkdirSync, writeFileSync } from 'node:fs';

import { bundle } from './bundle.mjs';

// The marker in the Node.js executable at which postject enables the injected program.
const SEA_FUSE = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2';

await bundle('src/main.ts', 'dist/redwingmount.cjs');
await bundle('standins/main.ts', 'dist/standins.cjs');
await bundle('platform/main.ts', 'dist/gateway.cjs');

if (process.argv.includes('--binary')) {
  mkdirSync('dist', { recursive: true });
  writeFileSync(
    'dist/sea.json',
    JSON.stringify({
      main: 'dist/redwingmount.cjs',
      output: 'dist/redwingmount.blob',
      disableExperimentalSEAWarning: true,
    }),
  );
  execFileSync(process.execPath, ['--experimental-sea-config', 'dist/sea.json'], {
    stdio: 'inherit',
  });
  copyFileSync(process.execPath, 'dist/redwingmount');
  chmodSync('dist/redwingmount', 0o755);
  execFileSync(
    process.execPath,
    [
      'node_modules/postject/dist/cli.js',
      'dist/redwingmount',
      'NODE_SEA_BLOB',
      'dist/redwingmount.blob',
      '--sentinel-fuse',
      SEA_FUSE,
    ],
    { stdio: 'inherit' },
  );
}
