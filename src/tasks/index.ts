/** The tasks of a node: each owns its state and its sockets. In the order that a call meets them: */
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
