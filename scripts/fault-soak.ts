// Runs real gateway processes while faults are injected from outside, one run per seed:
//   npm run soak:faults -- [--seed N] [--seeds COUNT] [--seconds S] [--timed] [--only KIND]
import cac from 'cac';

import { FaultedFleet } from '../test/soak/gateways/faulted-fleet';

const cli = cac('fault-soak');
cli.option('--seed <n>', 'the first seed', { default: 1 });
cli.option('--seeds <count>', 'number of seeds', { default: 1 });
cli.option('--seconds <s>', 'duration of each run', { default: 20 });
cli.option('--timed', 'also check the guarantees that have a time bound');
cli.option('--only <kind>', 'play only faults of this kind');
cli.help();
const { options } = cli.parse();
if (!options.help) {
  let failures = 0;
  const { seed: first, seeds, seconds, timed = false, only } = options;
  for (let seed = first; seed < first + seeds; seed++) {
    const {
      violations: breaches,
      notes,
      requests,
      served,
      faults,
      maxRssMb,
      departures,
    } = await FaultedFleet.runSeed(seed, seconds * 1000, { timed, only });
    const share = (served / Math.max(1, requests)).toFixed(3);
    console.log(
      `seed ${seed}: ${faults} faults, ${requests} requests, ${share} served, ${departures} drain times checked, RSS ${maxRssMb} MiB, ${breaches.length} violations`,
    );
    notes.forEach((note) => console.log(`  ${note}`));
    new Set(breaches.map(({ promise }) => promise)).forEach((broken) => {
      const details = breaches.flatMap(({ promise, detail }) => (promise === broken ? detail : []));
      console.log(`  ${broken} (${details.length}):`);
      details.slice(0, 5).forEach((detail) => console.log(`    ${detail}`));
    });
    if (breaches.length > 0) failures += 1;
  }
  process.exitCode = failures > 0 ? 1 : 0;
}
