// Prints what switching off each mechanism changes, from the plays in the journal whose reason is
// `ablation: NAME` or `ablation: none`. Usage: npm run ablation [-- JOURNAL-FOLDER]
import { readdirSync, readFileSync } from 'node:fs';
import { join } from 'node:path';

import { ablationRows, ablationTable, figuresOf } from './ablation/table';

const JOURNAL_FOLDER = 'journal';

const readEntry = (file: string): unknown => {
  try {
    return JSON.parse(readFileSync(file, 'utf8'));
  } catch (err) {
    console.error(`${file} is left out: ${err instanceof Error ? err.message : String(err)}`);
    return undefined;
  }
};

const main = (): void => {
  const folder = process.argv[2] ?? JOURNAL_FOLDER;
  const files = readdirSync(folder)
    .filter((name) => name.endsWith('.json'))
    .sort();
  const rows = ablationRows(files.flatMap((name) => figuresOf(readEntry(join(folder, name)))));
  if (rows.length === 0) {
    console.error(
      `${folder} has no plays with a mechanism off beside one of the same day with none`,
    );
    process.exitCode = 1;
    return;
  }
  console.log(ablationTable(rows));
};

main();
