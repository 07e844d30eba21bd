export * from './memory-account';
