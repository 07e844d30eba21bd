/** Which connections a host keeps when it has no descriptors for more. */
export * from './accepted-connections';
