/** A gateway: the process between the platform's callers and upstreams. In the order to learn it: */
export { Gateway, type GatewayPorts } from './gateway';
export type { GatewayContext } from './context';
