/** Implementations of the ports over files, clocks, sockets and HTTP. */
export * from './clock';
export * from './guarded';
export * from './telemetry';
export * from './listen';
export * from './headers';
export * from './upstream-http';
export * from './peer';
export * from './settings';
export * from './operator-files';
export { describeTomlError, type TomlError, type TomlProblemKind } from './toml-error';
export * from './caller';
export * from './operator-http';
export { HttpPlatformLog, type PlatformLogOptions } from './platform-log-http';
export { HttpHostList, type HostListOptions } from './host-list-http';
export { exchangeJson, type ExchangeError, type JsonAnswer } from './json-http';
export * from './progress-timeout';
