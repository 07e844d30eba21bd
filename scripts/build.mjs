// Bundles the command line to dist/redwingmount.cjs, a gateway to dist/gateway.cjs and the
// stand-ins for the platform and upstreams to dist/standins.cjs. With --binary, also builds the
// single executable dist/redwingmount. With --platform, builds only target/redwingmount.cjs, the
// gateway in the form that the platform runs.
import { execFileSync } from 'node:child_process';
import { chmodSync, copyFileSync, mkdirSync, readFileSync, writeFileSync } from 'node:fs';

import { build } from 'esbuild';

// The marker in the Node.js executable at which postject enables the injected program.
const SEA_FUSE = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2';
const { version } = JSON.parse(readFileSync('package.json', 'utf8'));

const bundle = (entry, outfile, options = {}) =>
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

if (process.argv.includes('--platform')) {
  // Without a source map, since the process would hold it in memory.
  await bundle('platform/main.ts', 'target/redwingmount.cjs', { sourcemap: false, minify: true });
  process.exit(0);
}

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
