export * from './fault-model';
export * from './queue-limit';
export * from './upstream-stats';
export * from './placement';
export * from './expected-cost';
export * from './choose-upstream';
export * from './load-balancer';
