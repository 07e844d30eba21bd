import { expect } from 'earl';
import { readdirSync, readFileSync } from 'node:fs';
import { join } from 'node:path';
import { describe, it } from 'node:test';

import { brokenPlayOf, misreadingsIn, type BrokenPlay } from '../../scripts/journal/record';

const ROOT = join(import.meta.dirname, '..', '..');
const read = (file: string): string => readFileSync(join(ROOT, file), 'utf8');
const filesIn = (dir: string, ending: string): readonly string[] =>
  readdirSync(join(ROOT, dir), { recursive: true, encoding: 'utf8' })
    .filter((name) => name.endsWith(ending))
    .map((name) => join(dir, name));

const entry = (rules: Readonly<Record<string, number>>): string =>
  JSON.stringify({ id: '7284a748', days: [{ rules: {} }, { rules }] });

describe('the record of plays', () => {
  it('names the rules that a play broke', () => {
    expect(brokenPlayOf(entry({ CONFIG: 1, GONE: 0 }))).toEqual({
      id: '7284a748',
      rules: new Set(['CONFIG']),
    });
    expect(brokenPlayOf(entry({ CONFIG: 0 }))).toEqual(undefined);
  });

  it('finds a passage that leaves out a broken rule', () => {
    const play: BrokenPlay = { id: '7284a748', rules: new Set(['CONFIG', 'GONE']) };
    const row = '| 20:42 | A day of our own (7284a748): no rule broken. |';
    const page = `Text with CONFIG and GONE.\n\n| time |\n${row}\n`;
    expect(misreadingsIn(page, [play]).map(({ rules }) => rules)).toEqual([['CONFIG', 'GONE']]);
    expect(misreadingsIn('- 7284a748: CONFIG 1\n  and GONE 1\n- next', [play])).toEqual([]);
  });

  /** Guards against a broken rule that is overlooked at the far right of the bench's table. */
  it('is quoted by pages with each rule that a play broke', () => {
    const plays = filesIn('journal', '.json').flatMap((file) => brokenPlayOf(read(file)) ?? []);
    expect(plays.length).toBeGreaterThan(0);
    const pages = [...filesIn('docs', '.md'), 'CHANGELOG.md', 'DEVELOPERS.md', 'KNOWN-RED.txt'];
    const misreadings = pages.flatMap((page) =>
      misreadingsIn(read(page), plays).map(
        ({ play, rules }) => `${page}: ${play} broke ${rules.join(', ')}`,
      ),
    );
    expect(misreadings).toEqual([]);
  });
});
