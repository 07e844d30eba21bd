export * from './path-state';
