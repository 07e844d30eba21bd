/** Encoding of the datagrams between gateways. */
import { Packr } from 'msgpackr';

import {
  packMembershipMessage,
  unpackMembershipMessage,
  type MembershipMessage,
} from '../../core/membership';
import type { ServiceReport } from '../../core/evidence';
import { isObject, offsetOf, type FeedPositions } from '../../model';

import { COMPACT_START, decodeReport, encodeReport } from './compact-report';

/** Topics that have a number in the binary format. */
type PackedTopic =
  'membership' | 'sightings' | 'beliefs' | 'crashes' | 'paths' | 'quotas' | 'freshness';

/**
 * Topics of messages between gateways: `sightings` are observations of upstreams, `reports` the same
 * and the load for nodes that read version 4, `crashes` tell of requests that crash upstreams,
 * `paths` of hosts that are cut off from them, `quotas` carry tokens of workspaces' quotas,
 * `freshness` proofs that a host's keys are the store's. Builds drop the datagrams of topics that
 * they don't know.
 */
export type PeerTopic = PackedTopic | 'reports';

/** A datagram; `body` is a `MembershipMessage` or `ServiceReport` where the topic is theirs. */
export interface Datagram {
  readonly topic: PeerTopic;
  readonly body: unknown;
  readonly positions: FeedPositions;
}

/**
 * The version of the binary format. Nodes tell it in their identity; to others datagrams go as JSON
 * arrays of topic, body and positions, which all builds read.
 */
export const DATAGRAM_VERSION = 4;
/** The version in which all topics but `reports` are written. */
const PACKED_VERSION = 3;
/** The binary version before it, whose positions are offsets without an era. */
const VERSION_WITHOUT_ERA = 2;

/** Topics by their number in the binary format. */
const TOPICS: readonly PackedTopic[] = [
  'membership',
  'sightings',
  'beliefs',
  'crashes',
  'paths',
  'quotas',
  'freshness',
];
/** First byte of a datagram in JSON, `[`; no binary one begins with it. */
const JSON_START = 0x5b;

const packr = new Packr({ useRecords: false });

/** Whether a node that announces this version reads the topic `reports`. */
export const readsReports = (version: number | undefined): boolean =>
  version !== undefined && version >= DATAGRAM_VERSION;

const isFeedPositions = (value: unknown): value is FeedPositions =>
  Array.isArray(value) && value.length === 2 && value.every(Number.isSafeInteger);

/** Encodes a datagram for a node that reads `version`; undefined if that is not known. */
export const encodeDatagram = (
  { topic, body, positions }: Datagram,
  version: number | undefined,
): Buffer => {
  if (topic === 'reports') return encodeReport(body as ServiceReport, positions);
  const offsets = positions.map((position) => (position < 0 ? position : offsetOf(position)));
  if (version === undefined || version < VERSION_WITHOUT_ERA) {
    return Buffer.from(JSON.stringify([topic, body, offsets]));
  }
  const packed = topic === 'membership' ? packMembershipMessage(body as MembershipMessage) : body;
  const [written, places] =
    version < PACKED_VERSION ? [VERSION_WITHOUT_ERA, offsets] : [PACKED_VERSION, positions];
  return packr.pack([written, TOPICS.indexOf(topic), packed, places]);
};

const decodeJson = (bytes: Buffer): readonly unknown[] => {
  const value: unknown = JSON.parse(bytes.toString('utf8'));
  return Array.isArray(value) ? (value as readonly unknown[]) : [];
};

const decodeBinary = (bytes: Buffer): readonly unknown[] => {
  const value: unknown = packr.unpack(bytes);
  if (!Array.isArray(value)) return [];
  const [version, number, body, positions] = value as readonly unknown[];
  if (version !== PACKED_VERSION && version !== VERSION_WITHOUT_ERA) return [];
  const topic = TOPICS[Number(number)];
  return [topic, topic === 'membership' ? unpackMembershipMessage(body) : body, positions];
};

/** Decodes a datagram; undefined if it is malformed. The fields of `body` have to be checked. */
export const decodeDatagram = (bytes: Buffer): Datagram | undefined => {
  try {
    if (bytes[0] === COMPACT_START) {
      const received = decodeReport(bytes);
      return received && { topic: 'reports', body: received.report, positions: received.positions };
    }
    const [topic, body, positions] =
      bytes[0] === JSON_START ? decodeJson(bytes) : decodeBinary(bytes);
    const known = TOPICS.find((one) => one === topic);
    if (known === undefined || !isObject(body) || !isFeedPositions(positions)) return undefined;
    return { topic: known, body, positions };
  } catch {
    return undefined;
  }
};
