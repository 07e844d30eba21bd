export * from './request-queue';
