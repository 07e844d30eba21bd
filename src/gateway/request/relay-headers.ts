import type { IncomingHttpHeaders } from 'node:http';

import type { GatewayUpstream } from '../../model';

/**
 * Headers between gateways, in lower case. A gateway whose path to the upstreams is cut passes a
 * request on to a peer; the peer's reply says what has become of it.
 */
export const RELAY_HEADERS = {
  /** Of the request: how many upstreams may still run it, and the version that has routed it. */
  routed: 'redwingmount-relay-routed',
  /**
   * Of the request: how many upstreams may still run it. Earlier builds take requests with this
   * header alone, and route them by the configuration that they have.
   */
  maxRuns: 'redwingmount-relay-max-runs',
  /** Of the reply: the kind of `CallerReply`, and for a refusal its reason. */
  outcome: 'redwingmount-relay-outcome',
  /** Of the reply: version of the configuration in force at the peer. */
  configVersion: 'redwingmount-relay-config',
  /** Of the reply: id, `born` and service of the upstream that gave the answer. */
  upstream: 'redwingmount-relay-upstream',
} as const;

/** What a gateway that passes a request on says of it. */
export interface RelayTerms {
  /** How many upstreams may still run it. */
  readonly maxRuns: number;
  /** Version of the configuration that has routed it; undefined if an earlier build sent it. */
  readonly configVersion: number | undefined;
}

/** Returns the headers of a request that is passed on, names and values alternating. */
export const encodeRelayTerms = (
  { maxRuns, configVersion }: RelayTerms,
  forEarlierBuilds: boolean,
): readonly string[] => [
  ...(configVersion === undefined ? [] : [RELAY_HEADERS.routed, `${maxRuns} ${configVersion}`]),
  ...(forEarlierBuilds ? [RELAY_HEADERS.maxRuns, String(maxRuns)] : []),
];

/** Decodes the headers of a request; undefined if no gateway has passed it on. */
export const decodeRelayTerms = (headers: IncomingHttpHeaders): RelayTerms | undefined => {
  const routed = /^(\d{1,3}) (\d{1,10})$/.exec(String(headers[RELAY_HEADERS.routed] ?? ''));
  if (routed) return { maxRuns: Number(routed[1]), configVersion: Number(routed[2]) };
  const maxRuns = headers[RELAY_HEADERS.maxRuns];
  return typeof maxRuns === 'string' && /^\d{1,3}$/.test(maxRuns)
    ? { maxRuns: Number(maxRuns), configVersion: undefined }
    : undefined;
};

/** The run of an upstream that gave an answer. */
export type AnsweringUpstream = Pick<GatewayUpstream, 'id' | 'born' | 'service'>;

export const encodeAnsweringUpstream = ({ id, born, service }: AnsweringUpstream): string =>
  `${encodeURIComponent(id)} ${born} ${encodeURIComponent(service)}`;

/** Decodes the header's value; undefined if it is absent or malformed. */
export const decodeAnsweringUpstream = (
  value: string | undefined,
): AnsweringUpstream | undefined => {
  const match = /^([\w.~!*'()%-]+) (\d{1,16}) ([\w.~!*'()%-]+)$/.exec(value ?? '');
  if (!match) return undefined;
  const [, id = '', born = '', service = ''] = match;
  try {
    return { id: decodeURIComponent(id), born: Number(born), service: decodeURIComponent(service) };
  } catch {
    return undefined;
  }
};
