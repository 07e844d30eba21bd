import type { UpstreamAnnouncement } from '../model';

/**
 * The names (in lower case) and formats of the headers that gateways exchange with callers and
 * upstreams.
 */
export interface HeaderConventions {
  /** The header of requests and answers that carries the request's id. */
  readonly requestId: string;
  /**
   * The header of requests that carries the time in milliseconds that the sender will still wait.
   */
  readonly remainingMs: string;
  /** The header by which an upstream marks its own answers as genuine. */
  readonly signature: string;
  /** The header of requests that names the only upstream that may run the request. */
  readonly targetUpstream: string;
  /** The header of answers which states that the request did not run. */
  readonly notRun: string;
  /** The header of requests that carries a caller's key. */
  readonly apiKey: string;
  /** The header of requests to upstreams that carries the name of the caller's workspace. */
  readonly workspace: string;
  /** Parses the load that an upstream reports in an answer's headers, if any. */
  parseLoad(header: (name: string) => string | undefined): UpstreamLoad | undefined;
  /**
   * Parses what an upstream announces in an answer of a status; `headers` returns all values of a
   * header.
   */
  parseAnnouncement(
    status: number,
    headers: (name: string) => readonly string[],
  ): UpstreamAnnouncement;
}

/** The numbers of requests at an upstream, as it reports them. */
export interface UpstreamLoad {
  readonly running: number;
  readonly waiting: number;
}

/** A caller's query to the directory for the addresses of gateways. */
export interface DirectoryQuery {
  readonly host: string;
  readonly dataCentre: string;
}

/** Decodes queries to the directory and encodes its answers. */
export interface DirectoryCodec {
  /** Returns the query in a request target, or undefined if the target is not a query. */
  decode(target: string): DirectoryQuery | undefined;
  /** Returns the answer's body. */
  encode(addresses: readonly string[], ttlSeconds: number): string;
}

/** Recognises the requests that ask whether a gateway accepts callers. */
export interface ReadinessCodec {
  isReadinessRequest(target: string): boolean;
}
