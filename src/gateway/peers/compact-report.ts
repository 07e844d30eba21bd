/**
 * Compact encoding of a `ServiceReport`, with the feed positions that go along with every datagram.
 * Bytes: version, topic, positions, sender, service, flags, the unserved priority and its age, then
 * for each upstream: key, flags, age of the last request (plus one unit; 0 if none), number
 * in flight, limit.
 */
import {
  FAILURE_KINDS,
  MAX_GOOD_COUNT,
  type ServiceReport,
  type UnservedPriority,
  type UpstreamReport,
} from '../../core/evidence';
import type { LimitNews } from '../../core/announcements';
import { eraOf, feedPositionOf, MAX_FEED_ERA, offsetOf, type FeedPosition } from '../../model';

import { ByteReader, ByteWriter } from './byte-codec';

/**
 * First byte of a compact datagram. Builds that read the versions before find a number in place of
 * an array in it and drop it.
 */
export const COMPACT_START = 4;
/** Second byte: a report of a service. Other values are free for other messages. */
const REPORT_TOPIC = 1;

/** Unit in milliseconds of the ages in a report; one byte holds up to 1,270 ms. */
const AGE_UNIT_MS = 10;
/** Flags of a report. */
const HAS_UNSERVED = 1;
/** Flags of an upstream: three bits for the good responses, two for the kind of a failure. */
const FAILURE_SHIFT = 3;
const FAILURE_MASK = 3;
const HAS_IN_FLIGHT = 1 << 5;
const HAS_LIMIT = 1 << 6;
/** In both flags: a block of bytes that later builds add, which begins with its length. */
const HAS_EXTENSION = 1 << 7;

type Positions = readonly [config: FeedPosition, upstreams: FeedPosition];

/** A report as it was read, with the positions of its sender. */
export interface ReceivedReport {
  readonly report: ServiceReport;
  readonly positions: Positions;
}

const toAgeUnits = (ago: number): number => Math.round(ago / AGE_UNIT_MS);

const writePosition = (writer: ByteWriter, position: FeedPosition): void => {
  if (position < 0) writer.varint(0);
  else writer.varint(eraOf(position) + 1).varint(offsetOf(position));
};

const readPosition = (reader: ByteReader): FeedPosition => {
  const era = reader.varint() - 1;
  if (era < 0) return -1;
  if (era > MAX_FEED_ERA) throw new RangeError('expected a feed position of a known era');
  return feedPositionOf(era, reader.varint());
};

const writeLimit = (writer: ByteWriter, { perSecond, heardAgo }: LimitNews): void => {
  writer.varint(toAgeUnits(heardAgo)).byte(perSecond === null ? 0 : 1);
  if (perSecond !== null) writer.float64(perSecond);
};

const readLimit = (reader: ByteReader): LimitNews => {
  const heardAgo = reader.varint() * AGE_UNIT_MS;
  if (reader.byte() === 0) return { perSecond: null, heardAgo };
  const perSecond = reader.float64();
  if (!Number.isFinite(perSecond) || perSecond < 0) throw new RangeError('expected a rate');
  return { perSecond, heardAgo };
};

const writeUpstream = (writer: ByteWriter, report: UpstreamReport): void => {
  const { key, goodCount, failure, sentAgo, inFlight, limit } = report;
  const failureNumber = failure === undefined ? 0 : FAILURE_KINDS.indexOf(failure) + 1;
  const flags =
    Math.min(MAX_GOOD_COUNT, goodCount) |
    (failureNumber << FAILURE_SHIFT) |
    (inFlight > 0 ? HAS_IN_FLIGHT : 0) |
    (limit ? HAS_LIMIT : 0);
  writer
    .uint32(key)
    .byte(flags)
    .varint(sentAgo === undefined ? 0 : toAgeUnits(sentAgo) + 1);
  if (inFlight > 0) writer.varint(inFlight);
  if (limit) writeLimit(writer, limit);
};

const readUpstream = (reader: ByteReader): UpstreamReport => {
  const key = reader.uint32();
  const flags = reader.byte();
  const failureNumber = (flags >> FAILURE_SHIFT) & FAILURE_MASK;
  const agePlusOne = reader.varint();
  const inFlight = flags & HAS_IN_FLIGHT ? reader.varint() : 0;
  const limit = flags & HAS_LIMIT ? readLimit(reader) : undefined;
  if (flags & HAS_EXTENSION) reader.skipBlock();
  return {
    key,
    goodCount: flags & MAX_GOOD_COUNT,
    ...(failureNumber > 0 ? { failure: FAILURE_KINDS[failureNumber - 1] } : {}),
    sentAgo: agePlusOne === 0 ? undefined : (agePlusOne - 1) * AGE_UNIT_MS,
    inFlight,
    ...(limit ? { limit } : {}),
  };
};

const readUnserved = (reader: ByteReader): UnservedPriority => {
  const priority = reader.varint();
  return { priority, ago: reader.varint() * AGE_UNIT_MS };
};

/** Encodes a report. */
export const encodeReport = (
  { sender, service, unserved, upstreams }: ServiceReport,
  positions: Positions,
): Buffer => {
  const writer = new ByteWriter().byte(COMPACT_START).byte(REPORT_TOPIC);
  positions.forEach((position) => writePosition(writer, position));
  writer
    .uint32(sender)
    .uint32(service)
    .byte(unserved ? HAS_UNSERVED : 0);
  if (unserved) writer.varint(unserved.priority).varint(toAgeUnits(unserved.ago));
  upstreams.forEach((report) => writeUpstream(writer, report));
  return writer.toBuffer();
};

/** Decodes a report; undefined if the datagram has another topic. Throws if it is malformed. */
export const decodeReport = (bytes: Buffer): ReceivedReport | undefined => {
  const reader = new ByteReader(bytes);
  if (reader.byte() !== COMPACT_START || reader.byte() !== REPORT_TOPIC) return undefined;
  const positions: Positions = [readPosition(reader), readPosition(reader)];
  const sender = reader.uint32();
  const service = reader.uint32();
  const flags = reader.byte();
  const unserved = flags & HAS_UNSERVED ? readUnserved(reader) : undefined;
  if (flags & HAS_EXTENSION) reader.skipBlock();
  const upstreams: UpstreamReport[] = [];
  while (!reader.isAtEnd) upstreams.push(readUpstream(reader));
  return { report: { sender, service, ...(unserved ? { unserved } : {}), upstreams }, positions };
};
