export * from './routes';
export * from './upstream-list';
export * from './owners';
export * from './windowed-retry-budget';
export * from './attempt-outcome';
export * from './lapse';
export * from './host-groups';
export * from './idle-connection-limit';
