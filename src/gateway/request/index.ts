/** A caller's request as the parts of the gateway pass it on. */
export * from './caller-request';
export * from './headers';
export * from './relay-headers';
export * from './request-digest';
