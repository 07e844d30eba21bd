export * from './memory-account';
export * from './heap-share';
