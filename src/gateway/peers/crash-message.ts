/** Encoding of what gateways tell each other of requests that crash upstreams. */
import type { RequestDigest, RequestRecord } from '../../core/crashes';
import {
  isArrayOf,
  isCount,
  isFiniteNumber,
  isObject,
  isString,
  type Instant,
  type Millis,
  type UpstreamId,
} from '../../model';

import { decodePeerAddress, type PeerAddress } from './peer-address';

/** A `RequestRecord` with ages in place of times, since the hosts' clocks differ. */
export interface RequestNews {
  readonly digest: RequestDigest;
  readonly crashes: readonly {
    readonly id: UpstreamId;
    readonly born: number;
    readonly ago: Millis;
  }[];
  /** Age of the latest complete answer; absent if there was none. */
  readonly answeredAgo?: Millis | undefined;
}

/** A request for all records of a gateway (`wanted`, to be answered to `from`), or such records. */
export type CrashMessage =
  | { readonly kind: 'wanted'; readonly from: PeerAddress }
  | { readonly kind: 'told'; readonly requests: readonly RequestNews[] };

/** Maximum number of records in one message, which has to fit into a datagram. */
const MAX_RECORDS_PER_MESSAGE_COUNT = 4;

const DIGEST = /^[0-9a-f]{8,64}$/;
/** Longest accepted id of an upstream, in characters. */
const MAX_ID_LENGTH = 64;

const isAge = (value: unknown): value is Millis => isFiniteNumber(value) && value >= 0;

const isCrash = (value: unknown): value is RequestNews['crashes'][number] =>
  isObject(value) &&
  isString(value.id) &&
  value.id.length <= MAX_ID_LENGTH &&
  isCount(value.born) &&
  isAge(value.ago);

const isRequestNews = (value: unknown): value is RequestNews =>
  isObject(value) &&
  isString(value.digest) &&
  DIGEST.test(value.digest) &&
  isArrayOf(value.crashes, isCrash) &&
  (value.answeredAgo === undefined || isAge(value.answeredAgo));

/** Decodes a message of topic `crashes`; undefined if it is malformed. */
export const decodeCrashMessage = (body: unknown): CrashMessage | undefined => {
  if (!isObject(body)) return undefined;
  const { kind, from, requests } = body;
  if (kind === 'told') return isArrayOf(requests, isRequestNews) ? { kind, requests } : undefined;
  const asker = decodePeerAddress(from);
  return kind === 'wanted' && asker ? { kind, from: asker } : undefined;
};

const toNews = ({ digest, crashes, answeredAt }: RequestRecord, now: Instant): RequestNews => ({
  digest,
  crashes: crashes.map(({ upstream, born, crashedAt }) => ({
    id: upstream,
    born,
    ago: Math.max(0, Math.round(now - crashedAt)),
  })),
  ...(Number.isFinite(answeredAt)
    ? { answeredAgo: Math.max(0, Math.round(now - answeredAt)) }
    : {}),
});

/** Returns the record that another gateway's news describes. */
export const fromNews = (
  { digest, crashes, answeredAgo }: RequestNews,
  now: Instant,
): RequestRecord => ({
  digest,
  crashes: crashes.map(({ id, born, ago }) => ({ upstream: id, born, crashedAt: now - ago })),
  answeredAt: answeredAgo === undefined ? Number.NEGATIVE_INFINITY : now - answeredAgo,
});

/** Splits records into messages that fit into one datagram each. */
export const createCrashMessages = (
  records: readonly RequestRecord[],
  now: Instant,
): readonly CrashMessage[] => {
  const messages: CrashMessage[] = [];
  for (let i = 0; i < records.length; i += MAX_RECORDS_PER_MESSAGE_COUNT) {
    const part = records.slice(i, i + MAX_RECORDS_PER_MESSAGE_COUNT);
    messages.push({ kind: 'told', requests: part.map((record) => toNews(record, now)) });
  }
  return messages;
};
