// Builds the gateway of a commit in a temporary worktree, starts a fleet of it and replaces the
// gateways one after the other by the build in dist, while callers send requests:
//   npm run mixed-builds -- COMMIT
// Exits with 1 if a phase served less than 99 of 100 requests, a request that is not idempotent ran
// twice, gateways did not see each other as members, or one did not learn what another told it.
import { execFileSync } from 'node:child_process';
import { mkdtempSync, realpathSync, rmSync, symlinkSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import cac from 'cac';

import { BuildReplacement } from '../test/process/build-replacement';

const GATEWAY_PROGRAM = 'dist/gateway.cjs';

const git = (...args: readonly string[]): string =>
  execFileSync('git', args, { encoding: 'utf8' }).trim();

/** Builds the gateway of a commit in `dir`; returns its program file. */
const buildCommit = (commit: string, dir: string): string => {
  const worktree = join(dir, 'worktree');
  git('worktree', 'add', '--detach', worktree, commit);
  // Both builds use the dependencies that are installed here.
  symlinkSync(realpathSync('node_modules'), join(worktree, 'node_modules'));
  execFileSync(process.execPath, ['scripts/build.mjs'], { cwd: worktree, stdio: 'inherit' });
  return join(worktree, GATEWAY_PROGRAM);
};

const main = async (commit: string): Promise<void> => {
  const id = git('rev-parse', '--short', '--verify', `${commit}^{commit}`);
  const dir = mkdtempSync(join(tmpdir(), 'redwingmount-commit-'));
  try {
    const old = buildCommit(id, dir);
    const { phases, violations } = await BuildReplacement.run({ old, new: GATEWAY_PROGRAM });
    console.log(`from ${id} to the build in dist`);
    phases.forEach(({ name, requests, served }) =>
      console.log(`  ${name}: ${served} of ${requests} requests served`),
    );
    violations.forEach((violation) => console.log(`VIOLATION ${violation}`));
    console.log(`${violations.length} violations`);
    process.exitCode = violations.length > 0 ? 1 : 0;
  } finally {
    git('worktree', 'remove', '--force', join(dir, 'worktree'));
    rmSync(dir, { recursive: true, force: true });
  }
};

const cli = cac('mixed-builds');
cli.command('<commit>', 'the commit to replace').action(main);
cli.help();
cli.parse(process.argv, { run: false });
await cli.runMatchedCommand();
