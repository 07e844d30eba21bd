/** The tasks of a node; each owns its state and timers. Exported in the order that calls reach them. */
export * from './entry';
export * from './home';
export * from './handover';
export * from './claimant';
export * from './dispatcher';
export * from './owner';
export * from './shard';
export * from './upstream-probes';
export * from './in-flight';
export * from './config-follower';
export * from './publisher';
export * from './membership';
export * from './host-list-poller';
