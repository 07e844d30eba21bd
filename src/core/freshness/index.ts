export * from './suspension-clock';
export * from './key-proofs';
export * from './inquiry';
export * from './peer-order';
