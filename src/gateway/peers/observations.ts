import { guarded } from '../../adapters/guarded';
import { toLimitNews, type AnnouncedLimit, type LimitNews } from '../../core/announcements';
import type {
  UpstreamBelief,
  EvidenceKind,
  UpstreamObservation,
  UpstreamStats,
} from '../../core/placement';
import {
  isArrayOf,
  isCount,
  isFiniteNumber,
  isObject,
  isString,
  type Instant,
  type Millis,
  type RequestsPerSecond,
  type ServiceName,
} from '../../model';
import type { Clock } from '../../ports';

import { decodePeerAddress, type PeerAddress } from './peer-address';

/**
 * Minimum interval in milliseconds between reports of good answers of one upstream, and their
 * maximum delay; failures are reported at once.
 */
const GOOD_REPORT_INTERVAL_MS: Millis = 250;
/** Maximum number of observations or beliefs in one message, which has to fit into a datagram. */
const MAX_ITEMS_PER_MESSAGE_COUNT = 12;

/** Observations of a service's upstreams by one gateway, for the others. */
export interface ObservationsMessage {
  readonly service: ServiceName;
  /** The observations; their field `sentAgo` is the age of the attempt in milliseconds. */
  readonly sightings: readonly UpstreamObservation[];
}

const EVIDENCE_KINDS: ReadonlySet<unknown> = new Set<EvidenceKind>([
  'good',
  'failed-early',
  'failed-late',
  'slow',
]);

const isLimitNews = (value: unknown): value is LimitNews =>
  isObject(value) &&
  (value.perSecond === null || (isFiniteNumber(value.perSecond) && value.perSecond >= 0)) &&
  isFiniteNumber(value.heardAgo) &&
  value.heardAgo >= 0;

const isObservation = (value: unknown): value is UpstreamObservation =>
  isObject(value) &&
  isString(value.id) &&
  isCount(value.born) &&
  EVIDENCE_KINDS.has(value.evidence) &&
  isFiniteNumber(value.sentAgo) &&
  value.sentAgo >= 0 &&
  (value.limit === undefined || isLimitNews(value.limit));

/** Decodes a message of topic `sightings`; undefined if it is malformed. */
export const decodeObservations = (body: unknown): ObservationsMessage | undefined => {
  if (!isObject(body) || !isString(body.service)) return undefined;
  const { service, sightings } = body;
  return isArrayOf(sightings, isObservation) ? { service, sightings } : undefined;
};

/**
 * A request for a gateway's beliefs about the upstreams of a service (`wanted`, to be answered to
 * `from`), or such beliefs (`told`). A belief's field `ill` is the probability, 0 to 1, of a fault.
 */
export type BeliefsMessage =
  | { readonly kind: 'wanted'; readonly service: ServiceName; readonly from: PeerAddress }
  | {
      readonly kind: 'told';
      readonly service: ServiceName;
      readonly beliefs: readonly UpstreamBelief[];
    };

const isBelief = (value: unknown): value is UpstreamBelief =>
  isObject(value) &&
  isString(value.id) &&
  isCount(value.born) &&
  isFiniteNumber(value.ill) &&
  value.ill >= 0 &&
  value.ill <= 1 &&
  (value.limit === undefined || isLimitNews(value.limit));

/** Decodes a message of topic `beliefs`; undefined if it is malformed. */
export const decodeBeliefs = (body: unknown): BeliefsMessage | undefined => {
  if (!isObject(body) || !isString(body.service)) return undefined;
  const { kind, service, from, beliefs } = body;
  const asker = decodePeerAddress(from);
  if (kind === 'wanted' && asker) return { kind, service, from: asker };
  return kind === 'told' && isArrayOf(beliefs, isBelief) ? { kind, service, beliefs } : undefined;
};

/** Splits beliefs into messages that fit into one datagram each. */
export const createBeliefMessages = (
  service: ServiceName,
  beliefs: readonly UpstreamBelief[],
): readonly BeliefsMessage[] => {
  const messages: BeliefsMessage[] = [];
  for (let i = 0; i < beliefs.length; i += MAX_ITEMS_PER_MESSAGE_COUNT) {
    messages.push({
      kind: 'told',
      service,
      beliefs: beliefs.slice(i, i + MAX_ITEMS_PER_MESSAGE_COUNT),
    });
  }
  return messages;
};

/** An observation that has not been sent, with the time at which its attempt began. */
interface UnsentObservation extends Omit<UpstreamObservation, 'sentAgo' | 'limit'> {
  readonly sentAt: Instant;
  readonly limit: AnnouncedLimit | undefined;
}

/** Collects the observations of this gateway and sends them in batches. */
export class ObservationOutbox {
  private readonly unsent = new Map<ServiceName, UnsentObservation[]>();

  /** When the last good answer of an upstream was queued; absent after a failure. */
  private readonly goodSentAt = new WeakMap<UpstreamStats, Instant>();

  /** The limit of an upstream in the last observation of it. */
  private readonly toldLimit = new WeakMap<UpstreamStats, RequestsPerSecond | undefined>();

  private timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly clock: Clock,
    private readonly send: (message: ObservationsMessage) => void,
  ) {}

  /** Queues an observation; `sentAt` is when its attempt began. Failures are sent at once. */
  add(service: ServiceName, stats: UpstreamStats, evidence: EvidenceKind, sentAt: Instant): void {
    const now = this.clock.now();
    const isGood = evidence === 'good';
    if (
      isGood &&
      this.toldLimit.get(stats) === stats.terms.limit?.rate &&
      now - (this.goodSentAt.get(stats) ?? Number.NEGATIVE_INFINITY) < GOOD_REPORT_INTERVAL_MS
    ) {
      return;
    }
    if (isGood) this.goodSentAt.set(stats, now);
    else this.goodSentAt.delete(stats);
    const sightings = this.unsent.get(service) ?? [];
    const { id, born } = stats.upstream;
    const { limit } = stats.terms;
    sightings.push({ id, born, evidence, sentAt, limit });
    this.toldLimit.set(stats, limit?.rate);
    this.unsent.set(service, sightings);
    if (!isGood || sightings.length >= MAX_ITEMS_PER_MESSAGE_COUNT) this.flush();
    else
      this.timer ??= setTimeout(
        guarded('observations timer', () => this.flush()),
        GOOD_REPORT_INTERVAL_MS,
      );
  }

  close(): void {
    clearTimeout(this.timer);
  }

  private flush(): void {
    clearTimeout(this.timer);
    this.timer = undefined;
    const now = this.clock.now();
    this.unsent.forEach((unsent, service) => {
      const sightings = unsent.map(({ sentAt, limit, ...seen }) => ({
        ...seen,
        ...(limit ? { limit: toLimitNews(limit, now) } : {}),
        sentAgo: Math.max(0, Math.round(now - sentAt)),
      }));
      this.send({ service, sightings });
    });
    this.unsent.clear();
  }
}
