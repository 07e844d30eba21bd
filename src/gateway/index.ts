/** The gateway: a proxy process between the platform's callers and upstreams. */
export { Gateway, type GatewayPorts } from './gateway';
export type { GatewayContext } from './context';
export { HostMemory, type Holding } from './memory';
