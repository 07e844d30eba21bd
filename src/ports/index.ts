export * from './clock';
export * from './platform-log';
export * from './host-list';
export * from './exchange';
export * from './peer-link';
export * from './telemetry';
export * from './upstream-client';
export * from './caller-service';
