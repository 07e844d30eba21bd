export * from './types';
export { Admission, type AdmissionOptions } from './admission';
