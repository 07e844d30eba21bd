/** The queue and the choice of upstreams of each service. */
export * from './service-schedulers';
export * from './service-scheduler';
export * from './queued-placement';
