export * from './routes';
export * from './upstream-list';
export * from './owners';
export * from './windowed-retry-budget';
export * from './attempt-outcome';
export * from './lapsed-registrations';
export * from './host-groups';
export * from './idle-connection-limit';
