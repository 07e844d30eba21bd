/** Decides how much work each upstream of a shard gets, from attempts and probes. */
export * from './events';
export { ShardHealth } from './shard-health';
export { TRIAL_SHARE } from './share';
