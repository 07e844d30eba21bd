export * from './sending-hosts';
export * from './sending-host-history';
export * from './upstream-terms';
export * from './terms-registry';
