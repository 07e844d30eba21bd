import { Left, Right, type Either } from 'purify-ts';

import { Replica, type Step } from '../core';
import {
  CONFIG_STREAM,
  RECORD_FORMAT,
  type ChangeRecord,
  type CheckpointRecord,
  type Config,
  type ConfigChange,
  type Instant,
  type Millis,
  type PublishId,
} from '../model';
import type { Clock, LogBatch, LogError, PlatformLog } from '../ports';

const APPEND_TIMEOUT_MS: Millis = 5000;
/** Time in milliseconds between two appends, or two reads that brought nothing new. */
const RETRY_PAUSE_MS: Millis = 250;
/** Ratio of the remaining time used for appends; the rest is left for reading the log back. */
const APPEND_TIME_RATIO = 0.75;

/** Describes a publication that took effect or was not needed. */
export type PublishResult =
  | {
      readonly kind: 'accepted';
      readonly version: number;
      readonly publishId: PublishId;
      /** True if an append's answer was lost; the log may then hold the record more than once. */
      readonly wasUnsure: boolean;
    }
  /** The configuration already has the requested state. */
  | { readonly kind: 'unchanged'; readonly version: number };

/** Tells why a publication was not accepted, or why that is unknown. */
export type PublishError =
  /** The log could not be reached; nothing has been published. */
  | { readonly kind: 'log-unavailable' }
  /** Another change came first; nothing of this one has taken effect. */
  | { readonly kind: 'conflict'; readonly version: number; readonly publishId: PublishId }
  /** The log could not be read back in time; the publication may still take effect. */
  | { readonly kind: 'unsure'; readonly publishId: PublishId }
  /** The log has trimmed changes and holds no checkpoint that replaces them. */
  | { readonly kind: 'config-lost' }
  /** The log still holds a configuration, which must not be replaced by a restored one. */
  | { readonly kind: 'config-present'; readonly version: number };

/** Holds what publishing needs. `publishId` identifies all copies of one publication. */
export interface PublisherDeps {
  readonly log: PlatformLog;
  readonly clock: Clock;
  readonly publishId: PublishId;
}

/** Describes the end of the configuration stream. */
interface StreamHead {
  readonly replica: Replica;
  /** Offset of the next append. */
  readonly next: number;
}

const pause = (): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, RETRY_PAUSE_MS);
  });

/** Reads the stream from offset `from` on, without waiting for new records. */
const read = (
  { log, clock }: PublisherDeps,
  from: number,
  deadline: Instant,
): Promise<Either<LogError, LogBatch>> =>
  log.read(CONFIG_STREAM, from, Math.min(deadline, clock.now()));

/** Reads the stream from its start, or from a checkpoint, to its end. */
const readHead = async (
  deps: PublisherDeps,
  deadline: Instant,
): Promise<Either<PublishError, StreamHead>> => {
  let replica = Replica.start;
  while (deps.clock.now() < deadline) {
    const result = await read(deps, replica.readFrom, deadline);
    const err = result.swap().toMaybe().extractNullable();
    if (err?.kind === 'log-trimmed') {
      replica = replica.trimmed(err.first).replica;
      continue;
    }
    if (err) return Left({ kind: 'log-unavailable' });
    const batch = result.unsafeCoerce();
    const step = replica.read(batch);
    replica = step.replica;
    if (step.atEnd) return Right({ replica, next: batch.next });
    const isSearched = replica.hasGap && replica.readFrom >= batch.next;
    if (isSearched) return Right({ replica, next: batch.next });
  }
  return Left({ kind: 'log-unavailable' });
};

type PublishDecision = 'accepted' | 'conflict' | undefined;

/** Returns whether a step accepted a publication; undefined when it did not decide on it. */
const decisionIn = ({ accepted, conflicts }: Step, publishId: PublishId): PublishDecision => {
  if (accepted.some(({ record }) => record.publishId === publishId)) return 'accepted';
  return conflicts.includes(publishId) ? 'conflict' : undefined;
};

/**
 * Appends a record until an answer confirms it; each append has the same publish id. Fails with
 * `none` if surely no append took effect, `maybe` if that is unknown.
 */
const appendUntilSure = async (
  deps: PublisherDeps,
  record: ChangeRecord | CheckpointRecord,
  deadline: Instant,
): Promise<Either<'none' | 'maybe', { readonly wasUnsure: boolean }>> => {
  let wasUnsure = false;
  while (deps.clock.now() < deadline) {
    const appendBy = Math.min(deadline, deps.clock.now() + APPEND_TIMEOUT_MS);
    const result = await deps.log.append(CONFIG_STREAM, record, appendBy);
    if (result.isRight()) return Right({ wasUnsure });
    const err = result.swap().unsafeCoerce();
    if (err.kind !== 'log-unsure' && !wasUnsure) return Left('none');
    wasUnsure = true;
    await pause();
  }
  return Left(wasUnsure ? 'maybe' : 'none');
};

/**
 * Reads on from the replica's state before the append until the publication's first record, which
 * decides whether it is accepted.
 */
const readBack = async (
  deps: PublisherDeps,
  from: Replica,
  publishId: PublishId,
  deadline: Instant,
): Promise<
  Either<PublishError, { readonly decision: PublishDecision; readonly version: number }>
> => {
  let replica = from;
  while (deps.clock.now() < deadline) {
    const result = await read(deps, replica.readFrom, deadline);
    const batch = result.toMaybe().extractNullable();
    if (!batch) {
      await pause();
      continue;
    }
    const step = replica.read(batch);
    replica = step.replica;
    const decision = decisionIn(step, publishId);
    if (decision) return Right({ decision, version: replica.tip.version });
    if (replica.hasGap) break;
    if (step.records === 0) await pause();
  }
  return Left({ kind: 'unsure', publishId });
};

/**
 * Publishes the change that `changeFrom` derives from the current configuration, within `timeout`
 * milliseconds. The order of the log decides: the publication's first record is accepted or
 * conflicts, and later copies of it have no effect.
 */
export const publish = async (
  deps: PublisherDeps,
  changeFrom: (config: Config) => ConfigChange | undefined,
  timeout: Millis,
): Promise<Either<PublishError, PublishResult>> => {
  const { publishId, clock } = deps;
  const deadline = clock.now() + timeout;
  const head = await readHead(deps, Math.min(deadline, clock.now() + timeout / 2));
  if (head.isLeft()) return Left(head.swap().unsafeCoerce());
  const { replica } = head.unsafeCoerce();
  if (replica.hasGap) return Left({ kind: 'config-lost' });
  const base = replica.tip.version;
  const change = changeFrom(replica.config);
  if (!change) return Right({ kind: 'unchanged', version: base });
  const record: ChangeRecord = { kind: 'change', format: RECORD_FORMAT, publishId, base, change };
  const appendBy = clock.now() + (deadline - clock.now()) * APPEND_TIME_RATIO;
  const appended = await appendUntilSure(deps, record, appendBy);
  if (appended.extract() === 'none') return Left({ kind: 'log-unavailable' });
  const { wasUnsure } = appended.orDefault({ wasUnsure: true });
  const decided = await readBack(deps, replica, publishId, deadline);
  return decided.chain(({ decision, version }): Either<PublishError, PublishResult> =>
    decision === 'accepted'
      ? Right({ kind: 'accepted', version: base + 1, publishId, wasUnsure })
      : Left({ kind: 'conflict', version, publishId }),
  );
};

/**
 * Publishes a checkpoint with the given configuration after the log has lost its own: changes were
 * trimmed and no checkpoint is left. Fails with `config-present` otherwise.
 */
export const restore = async (
  deps: PublisherDeps,
  { inventory, rules }: Config,
  timeout: Millis,
): Promise<Either<PublishError, PublishResult>> => {
  const { publishId, clock } = deps;
  const deadline = clock.now() + timeout;
  const head = await readHead(deps, clock.now() + timeout / 2);
  if (head.isLeft()) return Left(head.swap().unsafeCoerce());
  const { replica, next } = head.unsafeCoerce();
  if (!replica.hasGap) return Left({ kind: 'config-present', version: replica.tip.version });
  // Each accepted change has its own offset, so no node can have reached a version this high.
  const version = next + 1;
  const tip = { version, chain: publishId, through: next };
  const upstreams = inventory.all();
  const record: CheckpointRecord = {
    kind: 'checkpoint',
    format: RECORD_FORMAT,
    tip,
    upstreams,
    rules,
  };
  const appended = await appendUntilSure(deps, record, deadline);
  return appended
    .map(({ wasUnsure }): PublishResult => ({ kind: 'accepted', version, publishId, wasUnsure }))
    .mapLeft((effect) =>
      effect === 'none' ? { kind: 'log-unavailable' } : { kind: 'unsure', publishId },
    );
};
