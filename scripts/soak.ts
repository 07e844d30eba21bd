// Runs the randomised scenarios of test/soak in virtual time, one run per scenario and seed:
//   npm run soak -- [--scenario NAME] [--seed N] [--seeds COUNT] [--minutes M]
import { readdirSync } from 'node:fs';
import { join } from 'node:path';
import { pathToFileURL } from 'node:url';

import cac from 'cac';

import type { SoakScenario, SoakVerdict } from '../test/soak/scenario';

const SOAK_DIR = 'test/soak';
const DEFAULT_MINUTES = 2;

const isScenario = (value: unknown): value is SoakScenario =>
  typeof value === 'object' && value !== null && 'ciSeeds' in value && 'run' in value;

const loadScenarios = async (): Promise<readonly SoakScenario[]> => {
  const files = readdirSync(SOAK_DIR).filter((name) => name.endsWith('.soak.ts'));
  const modules = await Promise.all(
    files.map((name) => import(pathToFileURL(join(SOAK_DIR, name)).href)),
  );
  return modules.flatMap((module) => Object.values(module as object).filter(isScenario));
};

const runSeed = (scenario: SoakScenario, seed: number, minutes: number): SoakVerdict => {
  try {
    return scenario.run(seed, minutes);
  } catch (err) {
    return { ok: false, detail: err instanceof Error ? (err.stack ?? err.message) : String(err) };
  }
};

/**
 * Halves a failing run's duration while it still fails, and returns the shortest one in minutes.
 */
const shortenFailingRun = (scenario: SoakScenario, seed: number, minutes: number): number => {
  const half = minutes / 2;
  if (half < 0.05 || runSeed(scenario, seed, half).ok) return minutes;
  return shortenFailingRun(scenario, seed, half);
};

const main = async (): Promise<void> => {
  const cli = cac('soak');
  cli.option('--scenario <name>', 'only this scenario');
  cli.option('--seed <n>', 'the first seed', { default: 1 });
  cli.option('--seeds <count>', 'number of seeds', { default: 1 });
  cli.option('--minutes <m>', 'virtual minutes of each run', { default: DEFAULT_MINUTES });
  cli.help();
  const { options } = cli.parse();
  if (options.help) return;
  const scenarios = (await loadScenarios()).filter(
    ({ name }) => options.scenario === undefined || name === options.scenario,
  );
  let failures = 0;
  scenarios.forEach((scenario) => {
    let passed = 0;
    for (let i = 0; i < options.seeds; i++) {
      const seed = options.seed + i;
      const verdict = runSeed(scenario, seed, options.minutes);
      if (verdict.ok) {
        passed += 1;
        if (options.seeds === 1) console.log(`${scenario.name} seed=${seed} ${verdict.detail}`);
      } else {
        failures += 1;
        const minutes = shortenFailingRun(scenario, seed, options.minutes);
        console.log(`FAILED ${scenario.name} seed=${seed} minutes=${minutes}\n${verdict.detail}`);
      }
    }
    console.log(`${scenario.name}: ${passed} of ${options.seeds} seeds passed`);
  });
  process.exitCode = failures > 0 || scenarios.length === 0 ? 1 : 0;
};

await main();
