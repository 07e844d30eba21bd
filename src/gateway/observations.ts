import type {
  UpstreamBelief,
  EvidenceKind,
  UpstreamObservation,
  UpstreamStats,
} from '../core/placement';
import {
  isArrayOf,
  isCount,
  isFiniteNumber,
  isObject,
  isString,
  type Instant,
  type Millis,
  type ServiceName,
} from '../model';
import type { Clock } from '../ports';

import type { PeerAddress } from './peer-link';

/** Good answers of one upstream are told of once in this time; failures are told of at once. */
const GOOD_PERIOD: Millis = 250;
/** Sightings in one message. */
const MOST_IN_MESSAGE = 24;

/** What one node saw of a service's upstreams, for the others. */
export interface ObservationsMessage {
  readonly service: ServiceName;
  readonly sightings: readonly UpstreamObservation[];
}

const EVIDENCE: ReadonlySet<unknown> = new Set<EvidenceKind>([
  'good',
  'failed-early',
  'failed-late',
  'slow',
]);

const isObservation = (value: unknown): value is UpstreamObservation =>
  isObject(value) &&
  isString(value.id) &&
  isCount(value.born) &&
  EVIDENCE.has(value.evidence) &&
  isFiniteNumber(value.sentAgo) &&
  value.sentAgo >= 0;

export const decodeObservations = (body: unknown): ObservationsMessage | undefined => {
  if (!isObject(body) || !isString(body.service)) return undefined;
  const { service, sightings } = body;
  return isArrayOf(sightings, isObservation) ? { service, sightings } : undefined;
};

/** Asks for what a node believes of a service's upstreams, or tells it. */
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
  value.ill <= 1;

export const decodeBeliefs = (body: unknown): BeliefsMessage | undefined => {
  if (!isObject(body) || !isString(body.service)) return undefined;
  const { kind, service, from, beliefs } = body;
  if (kind === 'wanted' && isObject(from) && isString(from.address) && isCount(from.peerPort)) {
    return { kind, service, from: { address: from.address, peerPort: from.peerPort } };
  }
  return kind === 'told' && isArrayOf(beliefs, isBelief) ? { kind, service, beliefs } : undefined;
};

/** Beliefs in messages that fit into one datagram each. */
export const beliefMessages = (
  service: ServiceName,
  beliefs: readonly UpstreamBelief[],
): readonly BeliefsMessage[] => {
  const messages: BeliefsMessage[] = [];
  for (let i = 0; i < beliefs.length; i += MOST_IN_MESSAGE) {
    messages.push({ kind: 'told', service, beliefs: beliefs.slice(i, i + MOST_IN_MESSAGE) });
  }
  return messages;
};

/** A sighting that has not been told, by when its attempt began. */
interface UnsentObservation extends Omit<UpstreamObservation, 'sentAgo'> {
  readonly sentAt: Instant;
}

/** Collects what this node sees and hands it on in few messages. */
export class ObservationOutbox {
  private readonly unsent = new Map<ServiceName, UnsentObservation[]>();

  private readonly goodSentAt = new WeakMap<UpstreamStats, Instant>();

  private timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly clock: Clock,
    private readonly send: (message: ObservationsMessage) => void,
  ) {}

  /** `sentAt`: when the attempt began. */
  add(service: ServiceName, stats: UpstreamStats, evidence: EvidenceKind, sentAt: Instant): void {
    const now = this.clock.now();
    const isGood = evidence === 'good';
    if (isGood && now - (this.goodSentAt.get(stats) ?? Number.NEGATIVE_INFINITY) < GOOD_PERIOD) {
      return;
    }
    if (isGood) this.goodSentAt.set(stats, now);
    else this.goodSentAt.delete(stats);
    const sightings = this.unsent.get(service) ?? [];
    const { id, born } = stats.upstream;
    sightings.push({ id, born, evidence, sentAt });
    this.unsent.set(service, sightings);
    if (!isGood || sightings.length >= MOST_IN_MESSAGE) this.flush();
    else this.timer ??= setTimeout(() => this.flush(), GOOD_PERIOD);
  }

  close(): void {
    clearTimeout(this.timer);
  }

  private flush(): void {
    clearTimeout(this.timer);
    this.timer = undefined;
    const now = this.clock.now();
    this.unsent.forEach((unsent, service) => {
      const sightings = unsent.map(({ sentAt, ...seen }) => ({
        ...seen,
        sentAgo: Math.max(0, Math.round(now - sentAt)),
      }));
      this.send({ service, sightings });
    });
    this.unsent.clear();
  }
}
