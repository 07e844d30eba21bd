export * from './line';
