import { expect } from 'earl';
import { describe, it } from 'node:test';

import { MECHANISMS, parseMechanisms } from '../../src/model';

describe('the names of mechanisms to switch off', () => {
  it('are separated by commas', () => {
    const parsed = parseMechanisms(' hedges, retries ,');
    expect([...parsed.unsafeCoerce()]).toEqual(['hedges', 'retries']);
    expect([...parseMechanisms('').unsafeCoerce()]).toEqual([]);
    expect([...parseMechanisms('all').unsafeCoerce()]).toEqual([...MECHANISMS]);
  });

  it('are refused if one is unknown', () => {
    const parsed = parseMechanisms('hedges,hedge');
    expect(parsed.swap().unsafeCoerce()).toEqual({ kind: 'unknown-mechanism', name: 'hedge' });
  });
});
