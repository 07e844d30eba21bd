/** Fleet membership as one node sees it: SWIM-style probes and gossip, and the host list. */
export * from './messages';
export * from './membership';
export type { HostRecord } from './seeds';
export * from './packed';
