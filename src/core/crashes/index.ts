export * from './request-digest';
export * from './crash-table';
export * from './trial-host';
