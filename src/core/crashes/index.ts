export * from './request-digest';
