export * from './types';
export { FairQueue, type FairQueueTag } from './fair-queue';
export { Admission, type AdmissionOptions } from './admission';
