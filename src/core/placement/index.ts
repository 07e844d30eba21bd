export * from './fault-model';
export * from './track';
export * from './choose';
export * from './service-book';
