export * from './fair-queue';
export * from './hold-back';
export * from './minimum-shares';
export * from './request-queue';
export * from './time-share';
export * from './types';
