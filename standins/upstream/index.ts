export * from './server';
export * from './faults';
export * from './run-counter';
export { bundleETag, bundleHash } from './bundle';
