import { isArrayOf, isFiniteNumber, isObject, isString } from '../../src/model';

/** What one play measured; all but `mechanism`, `site` and `play` are shares of what was possible. */
export interface PlayFigures {
  /** The mechanisms that were switched off, or `none`. */
  readonly mechanism: string;
  readonly site: string;
  /** Day, seed and size; plays of the same are compared. */
  readonly play: string;
  readonly worth: number;
  readonly served: number;
  readonly worstWindows: number;
  readonly prices: number;
}

/** What switching off a mechanism changes at one deployment, over the plays that are compared. */
export interface AblationRow {
  readonly mechanism: string;
  readonly site: string;
  readonly playCount: number;
  readonly worth: Change;
  readonly served: Change;
  readonly worstWindows: Change;
  readonly prices: Change;
}

interface Change {
  readonly mean: number;
  readonly lowest: number;
  readonly highest: number;
}

const WHY_PREFIX = 'ablation: ';
const BASELINE = 'none';

/** A part of the score with its weight, or a price with its quantity, and its worth. */
type Item = readonly [name: string, weightOrQuantity: number, worth: number];

const isItem = (value: unknown): value is Item =>
  Array.isArray(value) &&
  isString(value[0]) &&
  isFiniteNumber(value[1]) &&
  isFiniteNumber(value[2]);

const worthOf = (items: unknown, name: string): number => {
  if (!isArrayOf(items, isItem)) return 0;
  return items.find(([found]) => found === name)?.[2] ?? 0;
};

const sumOf = (items: unknown): number =>
  isArrayOf(items, isItem) ? items.reduce((sum, [, , worth]) => sum + worth, 0) : 0;

/** Returns the figures of an entry of the journal; empty if it is of no ablation. */
export const figuresOf = (entry: unknown): readonly PlayFigures[] => {
  if (!isObject(entry) || !isString(entry.why) || !entry.why.startsWith(WHY_PREFIX)) return [];
  const mechanism = entry.why.slice(WHY_PREFIX.length);
  const { site, days } = entry;
  if (!isString(site) || !Array.isArray(days)) return [];
  return days.filter(isObject).flatMap((day) => {
    const { G: worth, served, name, seed, small_twin: twin } = day;
    if (!isFiniteNumber(worth) || !isFiniteNumber(served) || !isString(name)) return [];
    return [
      {
        mechanism,
        site,
        play: [name, String(seed), twin === null ? 'full' : 'small'].join(' '),
        worth,
        served,
        worstWindows: worthOf(day.parts, 'worst windows'),
        prices: sumOf(day.prices),
      },
    ];
  });
};

const changeOf = (differences: readonly number[]): Change => ({
  mean: differences.reduce((sum, value) => sum + value, 0) / Math.max(1, differences.length),
  lowest: Math.min(...differences),
  highest: Math.max(...differences),
});

/**
 * Compares the plays with a mechanism off, in the order of the journal, with the last play of the
 * same day before them with none off.
 */
export const ablationRows = (figures: readonly PlayFigures[]): readonly AblationRow[] => {
  const keyOf = ({ site, play }: PlayFigures): string => `${site} ${play}`;
  const baselines = new Map<string, PlayFigures>();
  const groups = new Map<string, { readonly off: PlayFigures; readonly on: PlayFigures }[]>();
  figures.forEach((off) => {
    if (off.mechanism === BASELINE) baselines.set(keyOf(off), off);
    const on = baselines.get(keyOf(off));
    if (off.mechanism === BASELINE || !on) return;
    const key = `${off.mechanism}\n${off.site}`;
    groups.set(key, [...(groups.get(key) ?? []), { off, on }]);
  });
  return [...groups.values()].flatMap((pairs) => {
    const [first] = pairs;
    if (!first) return [];
    const change = (figure: 'worth' | 'served' | 'worstWindows' | 'prices'): Change =>
      changeOf(pairs.map(({ off, on }) => off[figure] - on[figure]));
    return [
      {
        mechanism: first.off.mechanism,
        site: first.off.site,
        playCount: pairs.length,
        worth: change('worth'),
        served: change('served'),
        worstWindows: change('worstWindows'),
        prices: change('prices'),
      },
    ];
  });
};

const DIGITS = 4;
const signed = (value: number): string => `${value < 0 ? '' : '+'}${value.toFixed(DIGITS)}`;

/** Returns the rows as a Markdown table, the greatest loss of worth first. */
export const ablationTable = (rows: readonly AblationRow[]): string =>
  [
    '| off | deployment | plays | worth | lowest, highest | served | worst windows | prices |',
    '| --- | --- | --- | --- | --- | --- | --- | --- |',
    ...[...rows]
      .sort((a, b) => a.worth.mean - b.worth.mean)
      .map(({ mechanism, site, playCount, worth, served, worstWindows, prices }) =>
        [
          '',
          mechanism,
          site,
          String(playCount),
          signed(worth.mean),
          `${signed(worth.lowest)}, ${signed(worth.highest)}`,
          signed(served.mean),
          signed(worstWindows.mean),
          signed(prices.mean),
          '',
        ]
          .join(' | ')
          .trim(),
      ),
  ].join('\n');
