/** The configuration: from the records in the log to the state in force. Ordered for reading. */
export * from './change';
export * from './decode-record';
export * from './fold';
export { Replica, type ReplicaStep as Step } from './replica';
export type { ConfigMessage, ConfigPosition, MessageError } from './message';
export * from './wire';
export * from './freshness';
export * from './quorum-sample';
export { Snapshot, SnapshotAssembly } from './snapshot';
export * from './event';
export * from './state';
