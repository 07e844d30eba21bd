/** Stand-ins for the platform's systems around a gateway. */
export * from './store';
export * from './upstream';
export * from './endless-upstream';
export { inPieces } from './responses';
