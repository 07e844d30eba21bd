export * from './request-class';
export * from './class-stats';
export * from './class-table';
export * from './cost-model';
export * from './remaining-time';
export * from './speed';
export * from './pending-work';
