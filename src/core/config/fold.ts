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

/** A configuration and the position in the stream (`tip`) that it results from. */
export interface PositionedConfig {
  readonly config: Config;
  readonly tip: Tip;
}

/** An accepted change, with the offset of its record. */
export interface AcceptedChange {
  /** Version of the configuration after the change. */
  readonly version: number;
  readonly offset: number;
  readonly record: ChangeRecord;
  /** Chain hash after the change. */
  readonly chain: string;
}

/** Verdict of a reader on one record. */
export type RecordVerdict =
  /** The change built on the current version and was applied. */
  | { readonly kind: 'accepted'; readonly accepted: AcceptedChange }
  /** The change did not build on the current version and was rejected. */
  | { readonly kind: 'conflict'; readonly publishId: PublishId }
  | { readonly kind: 'checkpoint'; readonly tip: Tip }
  /** The record was skipped because it is malformed or of an unknown format. */
  | { readonly kind: 'passed-over'; readonly error: RecordError };

/** The state after a record, and the verdict on the record. */
export interface FoldResult {
  readonly at: PositionedConfig;
  readonly verdict: RecordVerdict;
}

/** State of a reader at the start of the stream. */
export const STREAM_START: PositionedConfig = {
  config: EMPTY_CONFIG,
  tip: { version: 0, chain: EMPTY_CHAIN, through: 0 },
};

/** Returns the same configuration at offset `through`, past records that changed nothing. */
export const advancedTo = (at: PositionedConfig, through: number): PositionedConfig => ({
  config: at.config,
  tip: { ...at.tip, through },
});

/** Returns the state after an accepted change. */
export const applyAccepted = (
  at: PositionedConfig,
  { offset, record, chain }: AcceptedChange,
): PositionedConfig => {
  const config = applyChange(at.config, record.change);
  return { config, tip: { version: config.version, chain, through: offset + 1 } };
};

/** Returns whether a change that another reader accepted is the next one of this state. */
export const isNextChange = (
  at: PositionedConfig,
  { offset, record, chain }: AcceptedChange,
): boolean =>
  record.base === at.tip.version &&
  offset >= at.tip.through &&
  chain === extendChain(at.tip.chain, offset, record.publishId);

const foldDecoded = (at: PositionedConfig, record: ConfigRecord): FoldResult => {
  const offset = at.tip.through;
  const past = advancedTo(at, offset + 1);
  if (record.kind === 'checkpoint') {
    return { at: past, verdict: { kind: 'checkpoint', tip: record.tip } };
  }
  if (record.base !== at.config.version) {
    return { at: past, verdict: { kind: 'conflict', publishId: record.publishId } };
  }
  const chain = extendChain(at.tip.chain, offset, record.publishId);
  const accepted = { version: record.base + 1, offset, record, chain };
  return { at: applyAccepted(at, accepted), verdict: { kind: 'accepted', accepted } };
};

/**
 * Applies the record at offset `at.tip.through`. A change is accepted if it builds on the current
 * version, so the verdict depends on the stream alone and is the same for every reader.
 */
export const foldRecord = (at: PositionedConfig, value: unknown): FoldResult => {
  const past = advancedTo(at, at.tip.through + 1);
  return decodeRecord(value).caseOf({
    Left: (error) => ({ at: past, verdict: { kind: 'passed-over', error } }),
    Right: (record) => foldDecoded(at, record),
  });
};

/** Returns the state that a checkpoint holds. */
export const fromCheckpoint = ({ tip, upstreams, rules }: CheckpointRecord): PositionedConfig => ({
  config: { version: tip.version, inventory: Inventory.from(upstreams), rules },
  tip,
});

/**
 * Returns the first checkpoint among the values that a reader can continue from: no record after
 * those that it covers has been trimmed. `first` is the oldest offset in the log.
 */
export const usableCheckpoint = (
  values: readonly unknown[],
  first: number,
): PositionedConfig | undefined => {
  for (const value of values) {
    const record = decodeRecord(value).toMaybe().extractNullable();
    if (record?.kind === 'checkpoint' && record.tip.through >= first) return fromCheckpoint(record);
  }
  return undefined;
};
