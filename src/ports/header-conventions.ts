/** The headers that the fleet, its callers and its upstreams agree on; names in lower case. */
export interface HeaderConventions {
  /** Carries a request's id, on requests and answers. */
  readonly requestId: string;
  /** Carries the milliseconds that the sender will wait. */
  readonly remainingMs: string;
  /** On an upstream's own answers; shows that they are genuine. */
  readonly signature: string;
  /** Names the only upstream that may run a request. */
  readonly onlyUpstream: string;
  /** On answers that say that the request did not run. */
  readonly notRun: string;
  /** Reads an upstream's word on its load. */
  loadOf(header: (name: string) => string | undefined): UpstreamLoad | undefined;
}

/** An upstream's own word on its load. */
export interface UpstreamLoad {
  readonly running: number;
  readonly waiting: number;
}

/** What a caller asks the directory. */
export interface DirectoryQuery {
  readonly host: string;
  readonly dataCentre: string;
}

/** How questions to the directory and its answers are written. */
export interface DirectoryCodec {
  /** The question of a request target; undefined if it asks for nothing that is known. */
  decode(target: string): DirectoryQuery | undefined;
  encode(addresses: readonly string[], ttlSeconds: number): string;
}

/** How one asks whether a gateway takes callers. */
export interface ReadinessCodec {
  isReadinessRequest(target: string): boolean;
}
