/** Callers' connections: reads requests, decides whether they may be served at all, and writes replies. */
export * from './caller-server';
export * from './caller-connection';
export * from './arrival-times';
export * from './serving-turns';
export * from './head-scanner';
export * from './request-input';
export * from './request-server';
export * from './unused-body';
export * from './body-reader';
export * from './idle-timeout';
export * from './client-errors';
export * from './reply-writer';
export * from './unread-reply';
export * from './workspace-access';
export * from './planned-stop';
export * from './replies';
export * from './relay-server';
