export * from './minimum-shares';
export * from './request-queue';
