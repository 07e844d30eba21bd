import {
  ClaimIndex,
  DEFAULT_CLAIM_LIMITS,
  DEFAULT_LEDGER_LIMITS,
  entryId,
  Ledger,
  type KeyRef,
} from '../../src/core';

import { retainedBytes, medianMicros, range, type Slope } from './measure';

const LEDGER_KEY_COUNTS = [4000, 16_000, 64_000];
const CLAIM_COUNTS = [32_000, 64_000, 128_000];
const CLAIMS_PER_RECORD = 64;
/** Time on the home's clock before which calls may start under a key. */
const START_BEFORE_MS = 300_000;
/** Size of the answer body kept for each key. */
const BODY_BYTES = 200;
/** High enough that no ledger reaches its limit. */
const MAX_ENTRY_COUNT = 1_000_000;
const LEDGER_LIMITS = {
  ...DEFAULT_LEDGER_LIMITS,
  maxEntries: MAX_ENTRY_COUNT,
  maxWorkspaceEntries: MAX_ENTRY_COUNT,
};

const keyRefAt = (index: number): KeyRef => ({
  workspace: `workspace-${index % 400}`,
  key: `5f3a9c2e1b7d4806.${index.toString(36).padStart(20, '0')}`,
  startBefore: START_BEFORE_MS,
});

const fingerprintAt = (index: number): string => index.toString(16).padStart(64, '0');

/** Records a call under a new key, and its answer. */
const serveKey = (ledger: Ledger, index: number): void => {
  const ref = keyRefAt(index);
  ledger.apply({ kind: 'call', ref, fingerprint: fingerprintAt(index) }, 1);
  const id = entryId(ref.workspace, ref.key);
  const body = new Uint8Array(BODY_BYTES);
  const headers = [['content-type', 'application/json']] as const;
  const settlement = { kind: 'answer', status: 200, headers, body } as const;
  ledger.apply({ kind: 'settle', id, settlement }, 2);
};

const ledgerOf = (entries: number): Ledger => {
  const ledger = Ledger.create(LEDGER_LIMITS, 0);
  range(entries).forEach((i) => serveKey(ledger, i));
  return ledger;
};

/** Returns the time to serve one more key at a ledger that already holds `entries` keys. */
const serveKeyMicros = (entries: number): number => {
  const ledger = ledgerOf(entries);
  let next = entries;
  return medianMicros(() => {
    next += 1;
    serveKey(ledger, next);
  }, 1000);
};

const claimIndexOf = (claims: number): ClaimIndex => {
  const index = new ClaimIndex(DEFAULT_CLAIM_LIMITS);
  range(claims / CLAIMS_PER_RECORD).forEach((record) => {
    const claimBatch = range(CLAIMS_PER_RECORD).map(
      (i) => [fingerprintAt(record * CLAIMS_PER_RECORD + i).slice(-22), i] as const,
    );
    index.add(
      { claimant: '00c2f1a9b07d3e11', stamp: 0, through: 0, claims: claimBatch },
      { now: 1, wall: 1 },
    );
  });
  return index;
};

/** Measures one cost of a key's home node at several sizes. */
const slopeOver = (
  what: string,
  unit: string,
  per: string,
  sizes: readonly number[],
  measure: (size: number) => number,
): Slope => ({
  role: 'home',
  what,
  unit,
  per,
  points: sizes.map((size) => [size, measure(size)]),
});

/** Measures the ledger and the claims of idempotency keys. */
export const onceSlopes = (): readonly Slope[] => [
  slopeOver('ledger, answers of 200 B kept', 'B', 'keys kept', LEDGER_KEY_COUNTS, (n) =>
    retainedBytes(() => ledgerOf(n)),
  ),
  slopeOver('one key served', 'us', 'keys kept', LEDGER_KEY_COUNTS, serveKeyMicros),
  slopeOver('claims on bare keys', 'B', 'claims kept', CLAIM_COUNTS, (n) =>
    retainedBytes(() => claimIndexOf(n)),
  ),
];
