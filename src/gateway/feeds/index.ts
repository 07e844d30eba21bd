/** The store's feeds: the configuration and the upstreams in service. */
export * from './feeds';
export * from './follower';
export * from './follower-options';
export * from './read-timing';
export * from './store-contact';
export * from './feed-relay';
export * from './feed-subscription';
export * from './feed-frames';
export * from './upstream-registry';
