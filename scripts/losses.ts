// Says why requests were not served within their objective, from a log of all hosts of a play.
// Usage: npm run losses -- LOG [--each]; --each prints a line for every such request.
import { readFileSync } from 'node:fs';

import { findLosses, type Loss } from './losses/causes';
import { parseLog } from './losses/log';
import { countRequests, lossReport } from './losses/report';

const lineOf = (loss: Loss): string => {
  const { known, believed, evidenceAgeMs } = loss;
  const seen = known
    ? `${known.good ? 'good' : 'failed'} ${known.ageMs.toFixed(0)} ms ago at ${known.host}`
    : 'never';
  return [
    `${loss.second} s ${loss.host} ${loss.request} ${loss.service} ${loss.route}`,
    loss.idempotent ? 'repeatable' : 'not repeatable',
    loss.cause,
    `placed=${loss.placed || 'none'} believed=${believed ?? '-'} evidenceAgeMs=${evidenceAgeMs ?? '-'}`,
    `last seen: ${seen}`,
  ].join('; ');
};

const main = (): void => {
  const [file, ...options] = process.argv.slice(2);
  if (!file || options.some((option) => option !== '--each')) {
    console.error('usage: npm run losses -- LOG [--each]');
    process.exitCode = 2;
    return;
  }
  let log: string;
  try {
    log = readFileSync(file, 'utf8');
  } catch (err) {
    console.error(`can't read ${file}: ${err instanceof Error ? err.message : String(err)}`);
    process.exitCode = 1;
    return;
  }
  const events = parseLog(log);
  if (events.length === 0) {
    console.error(`${file} has no log lines of hosts (time, host, JSON)`);
    process.exitCode = 1;
    return;
  }
  const losses = findLosses(events);
  if (options.includes('--each')) losses.forEach((loss) => console.log(lineOf(loss)));
  console.log(lossReport(losses, countRequests(events)));
};

main();
