export * from './fault-model';
export * from './upstream-key';
export * from './peer-loads';
export * from './upstream-stats';
export * from './placement';
export * from './expected-cost';
export * from './choose-upstream';
export * from './load-balancer';
