/** The configuration: from the log's records to what is in force. In the order to learn it: */
export * from './change';
export * from './decode-record';
export * from './fold';
export { Replica, type Step } from './replica';
export type { ConfigMessage, ConfigPosition, MessageError } from './message';
export * from './wire';
export * from './freshness';
export * from './quorum-sample';
export { Snapshot, SnapshotAssembly } from './snapshot';
export * from './event';
export * from './state';
