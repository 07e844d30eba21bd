import { expect } from 'earl';
import { describe, it } from 'node:test';

import { ablationRows, ablationTable, figuresOf } from '../../scripts/ablation/table';

const entry = (
  why: string,
  worth: number,
  more: Readonly<Record<string, unknown>> = {},
): unknown => ({
  why,
  site: 'shore',
  days: [
    {
      name: 'trouble-1',
      seed: 7,
      small_twin: null,
      G: worth,
      served: worth + 0.2,
      parts: [
        ['whole day', 0.35, 0.9],
        ['worst windows', 0.15, worth - 0.1],
      ],
      prices: [
        ['machine-seconds', 2500, 0.01],
        ['cloud calls', 700, 0.02],
      ],
      ...more,
    },
  ],
});

describe('the table of ablations', () => {
  it('compares plays of the same day, seed and size only', () => {
    const figures = [
      entry('ablation: none', 0.7),
      entry('ablation: hedges', 0.65),
      entry('ablation: hedges', 0.5, { seed: 8 }),
      entry('ablation: hedges', 0.5, { small_twin: 'trouble-1' }),
      entry('a round', 0.1),
      undefined,
      { why: 'ablation: none' },
    ].flatMap(figuresOf);
    const rows = ablationRows(figures);
    expect(rows.length).toEqual(1);
    expect(rows[0]?.playCount).toEqual(1);
    expect(Math.abs((rows[0]?.worth.mean ?? 0) + 0.05) < 1e-9).toEqual(true);
    expect(Math.abs((rows[0]?.worstWindows.mean ?? 0) + 0.05) < 1e-9).toEqual(true);
    expect(Math.abs(rows[0]?.prices.mean ?? 1) < 1e-9).toEqual(true);
  });

  it('compares a play with the last one before it with none off', () => {
    const figures = [
      entry('ablation: none', 0.7),
      entry('ablation: hedges', 0.65),
      entry('ablation: none', 0.8),
      entry('ablation: retries', 0.7),
    ].flatMap(figuresOf);
    const lines = ablationTable(ablationRows(figures)).split('\n').slice(2);
    expect(lines.map((line) => line.split(' | ')[3])).toEqual(['-0.1000', '-0.0500']);
  });

  it('gives the mean and the spread over the days, the greatest loss first', () => {
    const figures = [
      entry('ablation: none', 0.7),
      entry('ablation: none', 0.6, { name: 'scale-1' }),
      entry('ablation: hedges', 0.69),
      entry('ablation: waiting', 0.68),
      entry('ablation: waiting', 0.64, { name: 'scale-1' }),
      entry('ablation: retries', 0.5),
    ].flatMap(figuresOf);
    const lines = ablationTable(ablationRows(figures)).split('\n');
    expect(lines.slice(2).map((line) => line.split(' | ').slice(0, 4).join(' | '))).toEqual([
      '| retries | shore | 1 | -0.2000',
      '| hedges | shore | 1 | -0.0100',
      '| waiting | shore | 2 | +0.0100',
    ]);
    expect(lines[4]?.includes('-0.0200, +0.0400')).toEqual(true);
  });
});
