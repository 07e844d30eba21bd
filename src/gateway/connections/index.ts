export * from './host-connections';
