export * from './spell';
export * from './track';
export * from './choose';
export * from './service-book';
