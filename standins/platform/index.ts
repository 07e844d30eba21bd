/** Stand-ins for what surrounds a gateway on the users' platform. */
export * from './store';
export * from './upstream';
