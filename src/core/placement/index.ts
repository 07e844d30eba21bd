export * from './fault-model';
export * from './upstream-stats';
export * from './choose-upstream';
export * from './load-balancer';
