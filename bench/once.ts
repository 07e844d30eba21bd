// Measures the ledger's memory and time per key, and the claims' log traffic and time per key.
// Needs node --expose-gc: `npm run bench:once`.
import { randomBytes } from 'node:crypto';

import {
  ClaimRange,
  DEFAULT_CLAIM_LIMITS,
  DEFAULT_LEDGER_LIMITS,
  Ledger,
  claimLedgerLimits,
  entryId,
  type ClaimsEffect,
} from '../src/core';

const LEDGER_KEY_COUNTS = [10_000, 20_000, 40_000] as const;
/** Size of the answer body kept for each key. */
const BODY_BYTES = 200;
const CLAIM_KEYS_PER_SECOND = [1, 10, 100] as const;
const CLAIM_RUN_SECONDS = 60;

/** Returns the bytes of heap and external memory in use after a garbage collection. */
const heapBytes = (): number => {
  globalThis.gc?.();
  const { heapUsed, external } = process.memoryUsage();
  return heapUsed + external;
};

const ledgerKeyAt = (i: number): string =>
  `h1.0123456789abcdef.kq3x9z.${i.toString(16).padStart(32, '0')}`;

/** Records a call and its answer under each of `keys` keys. */
const measureLedger = (keys: number): object => {
  const limits = { ...DEFAULT_LEDGER_LIMITS, maxWorkspaceEntries: keys };
  const before = heapBytes();
  const ledger = Ledger.create(limits, 0);
  const start = process.hrtime.bigint();
  for (let i = 0; i < keys; i++) {
    const ref = { workspace: 'w1', key: ledgerKeyAt(i), startBefore: 300_000 };
    ledger.apply({ kind: 'call', ref, fingerprint: randomBytes(32).toString('base64url') }, 1);
    const body = Buffer.allocUnsafeSlow(BODY_BYTES);
    const settlement = { kind: 'answer', status: 201, headers: [], body } as const;
    ledger.apply({ kind: 'settle', id: entryId('w1', ledgerKeyAt(i)), settlement }, 2);
  }
  const seconds = Number(process.hrtime.bigint() - start) / 1e9;
  const bytes = heapBytes() - before;
  return {
    keys: ledger.size,
    bytesPerKey: Math.round(bytes / keys),
    keysPerSecond: Math.round(keys / seconds),
  };
};

/**
 * Measures the appends, log bytes and time that one range of claims needs at a rate of new keys a
 * second, with a log that takes 20 ms to append.
 */
const measureClaims = (rate: number): object => {
  const ledgerLimits = claimLedgerLimits(DEFAULT_CLAIM_LIMITS, DEFAULT_LEDGER_LIMITS);
  const claimRange = new ClaimRange(
    '0123456789abcdef',
    DEFAULT_CLAIM_LIMITS,
    Ledger.create(ledgerLimits, 0),
  );
  let appends = 0;
  let bytes = 0;
  let next = 0;
  let runs = 0;
  const executeEffects = (effects: readonly ClaimsEffect[], now: number): void =>
    effects.forEach((effect) => {
      if (effect.kind === 'run') runs += 1;
      if (effect.kind !== 'append') return;
      appends += 1;
      bytes += JSON.stringify(effect.record).length;
      const at = { now: now + 20, wall: now + 20 };
      const values = [effect.record];
      next += 1;
      claimRange.apply({ kind: 'appended' }, at);
      executeEffects(claimRange.apply({ kind: 'read', from: next - 1, values, next }, at), at.now);
    });
  executeEffects(
    claimRange.apply({ kind: 'read', from: 0, values: [], next: 0 }, { now: 0, wall: 0 }),
    0,
  );
  const start = process.hrtime.bigint();
  for (let i = 0; i < rate * CLAIM_RUN_SECONDS; i++) {
    const now = 1000 + (i * 1000) / rate;
    const digest = randomBytes(16).toString('base64url');
    const call = { callId: `${i}`, workspace: 'w1', key: digest, digest, fingerprint: 'f' };
    const at = { now, wall: now };
    executeEffects(claimRange.apply({ kind: 'tick' }, at), now);
    const callerKeyCall = { ...call, deadline: now + 5000, attempt: i };
    executeEffects(claimRange.apply({ kind: 'call', call: callerKeyCall }, at), now);
  }
  const micros = Number(process.hrtime.bigint() - start) / 1e3;
  return {
    keysPerSecond: rate,
    runs,
    appendsPerSecond: Number((appends / CLAIM_RUN_SECONDS).toFixed(2)),
    logBytesPerKey: Math.round(bytes / (rate * CLAIM_RUN_SECONDS)),
    microsPerKey: Number((micros / (rate * CLAIM_RUN_SECONDS)).toFixed(1)),
  };
};

console.table(LEDGER_KEY_COUNTS.map(measureLedger));
console.table(CLAIM_KEYS_PER_SECOND.map(measureClaims));
