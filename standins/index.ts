/** Test servers that replace the systems around the fleet; no part of the product. */
export { startLog, type LogControl, type LogOptions, type LogStats } from './log';
export { startHostList, type HostRow, type HostListControl, type HostListOptions } from './hosts';
export * from './upstream';
export {
  startFaultProxy,
  type FaultProxy,
  type FaultProxyControl,
  type FaultProxyOptions,
  type LinkMode,
} from './fault-proxy';
export type { StandIn } from './server';
