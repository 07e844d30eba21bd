/** What becomes of a request: its route, its attempts, hedges and reply. */
export * from './config-in-force';
export * from './request-router';
export * from './proxied-request';
export * from './placement-request';
export * from './attempt';
export * from './hedging';
export * from './fallback-answer';
export * from './request-log';
export * from './request-retries';
