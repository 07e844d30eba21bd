/** Connections to upstreams, and to gateways that take requests over. */
export * from './connection-pool';
export * from './upstream-connection';
export * from './exchange';
export * from './answer-input';
export * from './answer-parser';
export * from './forwarding';
export * from './gateway-reply';
export * from './announcements';
export * from './crash-check';
export * from './path-monitor';
export * from './peer-relay';
export * from './answer-stream';
