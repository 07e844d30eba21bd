export * from './fault-model';
export * from './upstream-stats';
export * from './choose';
export * from './service-book';
