/**
 * Decision logic without I/O; clocks and random generators are passed in. Modules in reading order:
 */
export * from './membership';
export * from './shards';
export * from './ownership';
export * from './routing';
export * from './addresses';
export * from './directory';
export * from './shard-loads';
export * from './next-hop';
export * from './admission';
export { hashOf } from './hash';
export * from './retry';
export * from './retry-budget';
export * from './hedge';
export * from './once';
export * from './config';
export * from './probe-message';
export * from './health';
