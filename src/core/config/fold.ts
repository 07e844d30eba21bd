import {
  EMPTY_CONFIG,
  Inventory,
  type ChangeRecord,
  type CheckpointRecord,
  type Config,
  type ConfigRecord,
  type PublishId,
  type Tip,
} from '../../model';

import { applyChange } from './change';
import { decodeRecord, type RecordError } from './decode-record';
import { EMPTY_CHAIN, extendChain } from './chain';

/** A configuration and the place in the stream that it results from. */
export interface ConfigAt {
  readonly config: Config;
  readonly tip: Tip;
}

/** An accepted change and where it was accepted. */
export interface AcceptedChange {
  /** The version that it led to. */
  readonly version: number;
  readonly offset: number;
  readonly record: ChangeRecord;
  /** The chain after it. */
  readonly chain: string;
}

/** What a reader made of one record. */
export type RecordVerdict =
  | { readonly kind: 'accepted'; readonly accepted: AcceptedChange }
  | { readonly kind: 'conflict'; readonly publishId: PublishId }
  | { readonly kind: 'checkpoint'; readonly tip: Tip }
  | { readonly kind: 'passed-over'; readonly error: RecordError };

/** The state after a record, and what became of the record. */
export interface Folded {
  readonly at: ConfigAt;
  readonly verdict: RecordVerdict;
}

/** Where every reader of a whole stream begins. */
export const STREAM_START: ConfigAt = {
  config: EMPTY_CONFIG,
  tip: { version: 0, chain: EMPTY_CHAIN, through: 0 },
};

/** Moves past records that changed nothing. */
export const movedTo = (at: ConfigAt, through: number): ConfigAt => ({
  config: at.config,
  tip: { ...at.tip, through },
});

/** The state after one accepted change. */
export const accept = (at: ConfigAt, { offset, record, chain }: AcceptedChange): ConfigAt => {
  const config = applyChange(at.config, record.change);
  return { config, tip: { version: config.version, chain, through: offset + 1 } };
};

/** Whether a change that another reader accepted is the next one here. */
export const isNext = (at: ConfigAt, { offset, record, chain }: AcceptedChange): boolean =>
  record.base === at.tip.version &&
  offset >= at.tip.through &&
  chain === extendChain(at.tip.chain, offset, record.publishId);

const foldDecoded = (at: ConfigAt, record: ConfigRecord): Folded => {
  const offset = at.tip.through;
  const past = movedTo(at, offset + 1);
  if (record.kind === 'checkpoint') {
    return { at: past, verdict: { kind: 'checkpoint', tip: record.tip } };
  }
  if (record.base !== at.config.version) {
    return { at: past, verdict: { kind: 'conflict', publishId: record.publishId } };
  }
  const chain = extendChain(at.tip.chain, offset, record.publishId);
  const accepted = { version: record.base + 1, offset, record, chain };
  return { at: accept(at, accepted), verdict: { kind: 'accepted', accepted } };
};

/**
 * Applies the record at `at.tip.through`. A change is accepted when it builds on the current
 * version, so that the verdict follows from the stream alone and is the same for every reader.
 */
export const foldRecord = (at: ConfigAt, value: unknown): Folded => {
  const past = movedTo(at, at.tip.through + 1);
  return decodeRecord(value).caseOf({
    Left: (error) => ({ at: past, verdict: { kind: 'passed-over', error } }),
    Right: (record) => foldDecoded(at, record),
  });
};

/** The state that a checkpoint holds. */
export const fromCheckpoint = ({ tip, upstreams, rules }: CheckpointRecord): ConfigAt => ({
  config: { version: tip.version, inventory: Inventory.from(upstreams), rules },
  tip,
});

/**
 * The first checkpoint among the values from which a reader can go on: nothing between the place
 * that it stands for and `first`, the oldest offset kept, has been lost.
 */
export const usableCheckpoint = (
  values: readonly unknown[],
  first: number,
): ConfigAt | undefined => {
  for (const value of values) {
    const record = decodeRecord(value).toMaybe().extractNullable();
    if (record?.kind === 'checkpoint' && record.tip.through >= first) return fromCheckpoint(record);
  }
  return undefined;
};
