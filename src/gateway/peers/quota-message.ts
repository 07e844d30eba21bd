/** Encoding of the messages by which gateways exchange tokens of workspaces' quotas. */
import type {
  GrantOutcome,
  QuotaMessage,
  TokenAsk,
  TokenGrant,
  TokenReturn,
  TokenRun,
} from '../../core/quota';
import {
  isArrayOf,
  isCount,
  isFiniteNumber,
  isIpAddress,
  isObject,
  isPort,
  isString,
  type Guard,
} from '../../model';

/** Outcomes of grants by their number on the wire. */
const OUTCOMES: readonly GrantOutcome[] = ['full', 'short', 'elsewhere'];
/** Largest accepted number of entries in a list, of tokens, and length of a name. */
const MAX_ENTRY_COUNT = 400;
const MAX_TOKEN_COUNT = 1000;
const MAX_NAME_LENGTH = 256;
/** Longest accepted time, and the longest that a timer takes; it fires at once for more. */
const MAX_DURATION_MS = 2 ** 31 - 1;
/** Longest accepted time between two tokens of a run, in microseconds. */
const MAX_STEP_MICROS = 1000 * MAX_DURATION_MS;

type AskTuple = readonly [number, number, string, number, number];
type ReturnTuple = readonly [number, number, number];
type RunTuple = readonly [number, number, number];
type GrantTuple = readonly [number, number, number, readonly RunTuple[]];
type PeerTuple = readonly [string, number, number];

const isUpTo =
  (most: number): Guard<number> =>
  (value): value is number =>
    isFiniteNumber(value) && value >= 0 && value <= most;
const isDuration = isUpTo(MAX_DURATION_MS);
const isStep = isUpTo(MAX_STEP_MICROS);
const isTokenCount = (value: unknown): value is number =>
  isCount(value) && value <= MAX_TOKEN_COUNT;
const isName = (value: unknown): value is string =>
  isString(value) && value.length <= MAX_NAME_LENGTH;

const isTupleOf =
  <T extends readonly unknown[]>(...guards: { [K in keyof T]: Guard<T[K]> }): Guard<T> =>
  (value): value is T =>
    Array.isArray(value) &&
    value.length === guards.length &&
    guards.every((guard, i) => guard(value[i]));

const isListOf =
  <T>(guard: Guard<T>): Guard<readonly T[]> =>
  (value): value is readonly T[] =>
    isArrayOf(value, guard) && value.length <= MAX_ENTRY_COUNT;

const isAsk = isTupleOf<AskTuple>(isCount, isCount, isName, isTokenCount, isDuration);
const isReturn = isTupleOf<ReturnTuple>(isCount, isTokenCount, isTokenCount);
const isRun = isTupleOf<RunTuple>(isTokenCount, isDuration, isStep);
const isGrant = isTupleOf<GrantTuple>(isCount, isCount, isDuration, isListOf(isRun));
const isPeer = isTupleOf<PeerTuple>(isIpAddress, isPort, isCount);

const toAsk = ([seq, partition, workspace, count, horizon]: AskTuple): TokenAsk => ({
  seq,
  partition,
  workspace,
  count,
  horizon,
});
const toReturn = ([seq, first, count]: ReturnTuple): TokenReturn => ({ seq, first, count });
const toRun = ([count, delay, stepMicros]: RunTuple): TokenRun => ({ count, delay, stepMicros });

const toGrant = ([seq, number, nextIn, runs]: GrantTuple): TokenGrant => ({
  seq,
  outcome: OUTCOMES[number] ?? 'elsewhere',
  nextIn,
  runs: runs.map(toRun),
});

/** Returns the body of a message's datagram. */
export const encodeQuotaMessage = (message: QuotaMessage): object => {
  switch (message.kind) {
    case 'ask': {
      const { kind, from, sender, asks, returns } = message;
      return {
        kind,
        from: [from.address, from.peerPort, from.datagramVersion ?? 0],
        sender,
        asks: asks.map((ask) => [ask.seq, ask.partition, ask.workspace, ask.count, ask.horizon]),
        returns: returns.map(({ seq, first, count }) => [seq, first, count]),
      };
    }
    case 'granted': {
      const { kind, to, grants } = message;
      const tuples = grants.map(({ seq, outcome, nextIn, runs }) => [
        seq,
        OUTCOMES.indexOf(outcome),
        nextIn,
        runs.map(({ count, delay, stepMicros }) => [count, delay, stepMicros]),
      ]);
      return { kind, to, grants: tuples };
    }
    case 'claim':
      return message;
  }
};

/** Decodes a message of topic `quotas`; undefined if it is malformed. */
export const decodeQuotaMessage = (body: unknown): QuotaMessage | undefined => {
  if (!isObject(body)) return undefined;
  const { kind, from, sender, asks, returns, to, grants, partition } = body;
  if (kind === 'claim') return isCount(partition) ? { kind, partition } : undefined;
  if (kind === 'granted') {
    if (!isName(to) || !isListOf(isGrant)(grants)) return undefined;
    return { kind, to, grants: grants.map(toGrant) };
  }
  if (kind !== 'ask' || !isPeer(from) || !isName(sender)) return undefined;
  if (!isListOf(isAsk)(asks) || !isListOf(isReturn)(returns)) return undefined;
  const [address, peerPort, datagramVersion] = from;
  return {
    kind,
    from: { address, peerPort, datagramVersion },
    sender,
    asks: asks.map(toAsk),
    returns: returns.map(toReturn),
  };
};
