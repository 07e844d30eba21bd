import { expect } from 'earl';
import { describe, it } from 'node:test';

import { Replica, type AcceptedChange, type StreamBatch } from '../../../src/core';

import { checkpoint, publication } from './samples';

const batch = (values: readonly unknown[], first = 0, from = first): StreamBatch => ({
  records: values.map((value, index) => ({ offset: from + index, value })),
  first,
  next: from + values.length,
});

const ids = (replica: Replica): readonly string[] =>
  replica.config.inventory.all().map(({ id }) => id);

const whole = (values: readonly unknown[]): Replica => Replica.start.read(batch(values)).replica;

describe('Replica', () => {
  it('accepts the first of two changes that build on one version, and counts the other', () => {
    const step = Replica.start.read(batch([publication('a', 0), publication('b', 0)]));
    expect(ids(step.replica)).toEqual(['a']);
    expect(step.counts).toEqual(['conflict']);
  });

  it('applies a publication once when the log holds it twice', () => {
    const replica = whole([publication('a', 0), publication('a', 0), publication('b', 1)]);
    expect(ids(replica)).toEqual(['a', 'b']);
    expect(replica.tip.version).toEqual(2);
  });

  it('skips malformed records and records of an unknown format', () => {
    const step = Replica.start.read(batch([null, { format: 9 }, publication('a', 0)]));
    expect(step.counts).toEqual(['malformed-record', 'unknown-format']);
    expect(ids(step.replica)).toEqual(['a']);
  });

  it('applies no record after a gap while there is no checkpoint to continue from', () => {
    const behind = whole([publication('a', 0)]);
    const late = publication('late', 1);
    const step = behind.read(batch([late], 5));
    expect(step.replica.tip.version).toEqual(1);
    expect(step.counts).toEqual(['log-gap']);
    expect(step.atEnd).toEqual(false);
  });

  it('continues from a checkpoint with the records that it does not cover', () => {
    const tip = { version: 7, chain: 'c', through: 5 };
    const late = [publication('b', 7), checkpoint(tip, ['x'])];
    const first = Replica.start.read(batch(late, 5)).replica;
    expect(first.readFrom).toEqual(5);
    const second = first.read(batch(late, 5));
    expect(ids(second.replica)).toEqual(['x', 'b']);
    expect(second.atEnd).toEqual(true);
  });

  it('does not continue from a checkpoint when records that it does not cover are lost', () => {
    const tip = { version: 7, chain: 'c', through: 4 };
    const step = Replica.start.read(batch([checkpoint(tip, ['x'])], 5));
    expect(step.replica.hasGap).toEqual(true);
    expect(step.replica.tip.version).toEqual(0);
    expect(step.replica.readFrom).toEqual(6);
  });

  it('skips such a checkpoint for a later one that it can continue from', () => {
    const early = checkpoint({ version: 7, chain: 'c', through: 4 }, ['x']);
    const fit = checkpoint({ version: 8, chain: 'd', through: 6 }, ['y']);
    const { replica } = Replica.start.read(batch([early, fit], 5));
    expect(ids(replica)).toEqual(['y']);
  });

  it('keeps its configuration when a checkpoint of an older version arrives late', () => {
    const values = [publication('a', 0), publication('b', 1)];
    const old = whole([publication('a', 0)]);
    const replica = whole([...values, checkpoint(old.tip, ['a'])]);
    expect(ids(replica)).toEqual(['a', 'b']);
    const later = { ...old.tip, through: 9 };
    const step = replica.adopt({ config: old.config, tip: later });
    expect(step.replica).toEqual(replica);
    expect(step.counts).toEqual([]);
  });

  it('adopts the offset of a peer that has read further at the same version', () => {
    const behind = whole([publication('a', 0)]);
    const ahead = whole([publication('a', 0), publication('b', 0)]);
    const gapped = behind.trimmed(2).replica;
    const step = gapped.adopt(ahead.at);
    expect(step.replica.hasGap).toEqual(false);
    expect(step.replica.tip).toEqual(ahead.tip);
  });

  it('does not adopt the offset of a peer whose chain differs at the same version', () => {
    const one = whole([publication('a', 0)]);
    const other = whole([publication('z', 0), null]);
    const step = one.adopt(other.at);
    expect(step.replica).toEqual(one);
    expect(step.counts).toEqual(['chain-mismatch']);
  });

  it('applies the changes of a peer only if they follow its own state and chain', () => {
    const { accepted } = Replica.start.read(
      batch([publication('a', 0), publication('b', 1), publication('c', 2)]),
    );
    const behind = whole([publication('a', 0)]);
    expect(ids(behind.applyPeerChanges(accepted).replica)).toEqual(['a', 'b', 'c']);
    expect(behind.applyPeerChanges(accepted.slice(2)).replica).toEqual(behind);
    const other = whole([publication('z', 0)]).applyPeerChanges(accepted);
    expect(other.counts).toEqual(['chain-mismatch']);
    expect(ids(other.replica)).toEqual(['z']);
    const doubled: readonly AcceptedChange[] = [...accepted, ...accepted];
    expect(ids(Replica.start.applyPeerChanges(doubled).replica)).toEqual(['a', 'b', 'c']);
  });

  it('is not at the end while the log holds further records', () => {
    const more = { ...batch([publication('a', 0)]), next: 2 };
    expect(Replica.start.read(more).atEnd).toEqual(false);
  });

  it('ignores records of a log that has lost its latest records', () => {
    const replica = whole([publication('a', 0), publication('b', 1)]);
    const step = replica.read(batch([publication('z', 0)]));
    expect(step.counts).toEqual(['log-behind']);
    expect(step.replica).toEqual(replica);
  });
});
