import type { Evidence, Sighting, Track } from '../core/placement';
import {
  isArrayOf,
  isCount,
  isShape,
  isString,
  type Instant,
  type Millis,
  type ServiceName,
} from '../model';
import type { Clock } from '../ports';

/** Good answers of one upstream are told of once in this time; failures are told of at once. */
const GOOD_PERIOD: Millis = 250;
/** Sightings in one message. */
const MOST_IN_MESSAGE = 24;

/** What one node saw of a service's upstreams, for the others. */
export interface SightingsMessage {
  readonly service: ServiceName;
  readonly sightings: readonly Sighting[];
}

const EVIDENCE: ReadonlySet<unknown> = new Set<Evidence>([
  'good',
  'failed-early',
  'failed-late',
  'slow',
]);

const isSighting = (value: unknown): value is Sighting =>
  isShape(value) && isString(value.id) && isCount(value.born) && EVIDENCE.has(value.evidence);

export const decodeSightings = (body: unknown): SightingsMessage | undefined => {
  if (!isShape(body) || !isString(body.service)) return undefined;
  return isArrayOf(body.sightings, isSighting)
    ? { service: body.service, sightings: body.sightings }
    : undefined;
};

/** Collects what this node sees and hands it on in few messages. */
export class SightingOutbox {
  private readonly waiting = new Map<ServiceName, Sighting[]>();

  private readonly toldGood = new Map<Track, Instant>();

  private timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly clock: Clock,
    private readonly send: (message: SightingsMessage) => void,
  ) {}

  add(service: ServiceName, track: Track, evidence: Evidence): void {
    const now = this.clock.now();
    const isGood = evidence === 'good';
    if (isGood && now - (this.toldGood.get(track) ?? Number.NEGATIVE_INFINITY) < GOOD_PERIOD) {
      return;
    }
    if (isGood) this.toldGood.set(track, now);
    else this.toldGood.delete(track);
    const list = this.waiting.get(service) ?? [];
    list.push({ id: track.upstream.id, born: track.upstream.born, evidence });
    this.waiting.set(service, list);
    if (!isGood || list.length >= MOST_IN_MESSAGE) this.flush();
    else this.timer ??= setTimeout(() => this.flush(), GOOD_PERIOD);
  }

  /** Forgets upstreams that have left. */
  forget(track: Track): void {
    this.toldGood.delete(track);
  }

  close(): void {
    clearTimeout(this.timer);
  }

  private flush(): void {
    clearTimeout(this.timer);
    this.timer = undefined;
    this.waiting.forEach((sightings, service) => this.send({ service, sightings }));
    this.waiting.clear();
  }
}
