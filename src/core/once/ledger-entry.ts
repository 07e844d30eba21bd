/** Entries of a ledger and their limits. */
import type { Headers, Instant, Millis, Refusal, WorkspaceName } from '../../model';

/** Id of an entry, made of the workspace and the key, so that workspaces never share entries. */
export type EntryId = string;

/** Digest of a request's method, path and body; a retry of a key must have the same one. */
export type Fingerprint = string;

/** A key that a caller sent, with its start deadline. */
export interface KeyRef {
  readonly workspace: WorkspaceName;
  readonly key: string;
  /** Time on the issuing home's clock from which the key may no longer be started. */
  readonly startBefore: Instant;
}

/** An answer kept for retries. `body` is null when keeping it would have exceeded the limits. */
export interface KeptAnswer {
  readonly kind: 'answer';
  readonly status: number;
  readonly headers: Headers;
  readonly body: Uint8Array | null;
}

/** Result of a request; never changes once recorded. */
export type Settlement = KeptAnswer | Refusal;

/** The entry of one key. `fingerprint` is null when the request body was not read. */
export interface LedgerEntry {
  readonly id: EntryId;
  readonly workspace: WorkspaceName;
  readonly fingerprint: Fingerprint | null;
  /** Time on the issuing home's clock until which the entry is kept. */
  readonly until: Instant;
  /** Null while the request is in flight. */
  readonly settlement: Settlement | null;
}

/** Limits of a ledger. */
export interface LedgerLimits {
  /** Time in milliseconds after its issue during which keys with a prefix may be started. */
  readonly startWindow: Millis;
  /** Time in milliseconds after `startBefore` for which an entry is kept. */
  readonly retention: Millis;
  /** Maximum number of entries. */
  readonly maxEntries: number;
  /** Maximum number of entries of one workspace, so that none can fill the ledger. */
  readonly maxWorkspaceEntries: number;
  /** Maximum size in bytes of one kept answer body. */
  readonly maxBodyBytes: number;
  /** Maximum size in bytes of all kept answer bodies together. */
  readonly maxTotalBodyBytes: number;
}

export const DEFAULT_LEDGER_LIMITS: LedgerLimits = {
  startWindow: 300_000,
  retention: 900_000,
  maxEntries: 65_536,
  maxWorkspaceEntries: 16_384,
  maxBodyBytes: 65_536,
  maxTotalBodyBytes: 33_554_432,
};

/** Returns the id of an entry; the length prefix separates the workspace's name from the key. */
export const entryId = (workspace: WorkspaceName, key: string): EntryId =>
  `${workspace.length}:${workspace}${key}`;

/** Returns the size in bytes of the body that a settlement holds; 0 without one. */
export const bodyBytes = (settlement: Settlement | null): number =>
  settlement?.kind === 'answer' ? (settlement.body?.byteLength ?? 0) : 0;
