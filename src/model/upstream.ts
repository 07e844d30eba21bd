/** The id of an upstream, given by the operators; unique in an inventory. */
export type UpstreamId = string;

/** The name of a group of upstreams that serve the same requests. */
export type ServiceName = string;

/** The name of a data centre, as in the settings. */
export type DataCentre = string;

/** A server that runs callers' requests, as the operators' inventory describes it. */
export interface Upstream {
  readonly id: UpstreamId;
  readonly service: ServiceName;
  readonly dataCentre: DataCentre;
  /** An IP address. */
  readonly address: string;
  readonly port: number;
  /** Largest number of requests that it runs at once. */
  readonly slots: number;
  /** Largest number of connections that it accepts at once. */
  readonly connections: number;
}
