import type { GatewayUpstream } from '../model';

/**
 * Headers between gateways, in lower case. A gateway whose path to the upstreams is cut passes a
 * request on to a peer; the peer's reply says what has become of it.
 */
export const RELAY_HEADERS = {
  /** Of the request: how many upstreams may still run it. */
  maxRuns: 'redwingmount-relay-max-runs',
  /** Of the reply: the kind of `CallerReply`, and for a refusal its reason. */
  outcome: 'redwingmount-relay-outcome',
  /** Of the reply: id, `born` and service of the upstream that gave the answer. */
  upstream: 'redwingmount-relay-upstream',
} as const;

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
