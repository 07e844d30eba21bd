export * from './host-memory';
export * from './heap-guard';
