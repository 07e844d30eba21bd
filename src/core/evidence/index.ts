export * from './service-report';
export * from './service-reporter';
export * from './unserved-priorities';
