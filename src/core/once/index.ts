export * from './homed-key';
export * from './ledger-entry';
export * from './ledger';
