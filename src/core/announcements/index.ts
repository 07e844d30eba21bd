export * from './upstream-terms';
export * from './terms-registry';
