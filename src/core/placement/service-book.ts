import type {
  DataCentre,
  GatewayUpstream,
  Instant,
  Millis,
  ServiceName,
  UpstreamId,
} from '../../model';

import { choose, type Placement, type PlacementRequest } from './choose';
import type { Evidence } from './spell';
import { Track } from './track';

/** Span over which unserved requests are counted; the floor's window. */
const UNSERVED_WINDOW: Millis = 2000;
/** Share of unserved requests at which work is spread; the floor binds from a tenth. */
const SPREAD_FROM = 0.08;
/** Fewer unserved requests than this in the window say nothing. */
const SPREAD_SAMPLE = 3;
/** Latency and length of a route's answers. */
export interface UsualAnswer {
  readonly latency: Millis;
  readonly bytes: number;
}

/** What an answer is assumed to be like before any was seen. */
const FIRST_ANSWER: UsualAnswer = { latency: 300, bytes: 4096 };
/** Weight of the newest answer in the running means. */
const USUAL_WEIGHT = 0.05;
/** An answer is overdue after this many times the usual latency, and at least this long. */
const OVERDUE_FACTOR = 3;
const OVERDUE_LEAST: Millis = 100;

/** One served or unserved request. */
interface Served {
  readonly at: Instant;
  readonly served: boolean;
}

/** What was seen of an upstream by some node, to be shared. */
export interface Sighting {
  readonly id: UpstreamId;
  readonly born: number;
  readonly evidence: Evidence;
}

/** The upstreams of one service and what this node knows of each. */
export class ServiceBook {
  private readonly tracks = new Map<UpstreamId, Track>();

  private list: readonly Track[] = [];

  private served: Served[] = [];

  /** What answers are usually like, by route, since a route's requests are alike. */
  private readonly usual = new Map<string, UsualAnswer>();

  constructor(
    readonly name: ServiceName,
    private readonly dataCentre: DataCentre,
  ) {}

  get size(): number {
    return this.list.length;
  }

  /** Slots of all upstreams that take work. */
  get slots(): number {
    return this.list.reduce(
      (sum, { upstream }) => sum + (upstream.state === 'ready' ? upstream.slots : 0),
      0,
    );
  }

  all(): readonly Track[] {
    return this.list;
  }

  put(upstream: GatewayUpstream, now: Instant): void {
    const known = this.tracks.get(upstream.id);
    if (known && known.upstream.born === upstream.born) known.upstream = upstream;
    else
      this.tracks.set(upstream.id, new Track(upstream, this.served.length > 0 ? now : undefined));
    this.list = [...this.tracks.values()];
  }

  remove(id: UpstreamId): void {
    this.tracks.delete(id);
    this.list = [...this.tracks.values()];
  }

  /** `isOwner`: this node gets its share of the service's requests, and hears what others saw. */
  place(request: PlacementRequest, isOwner: boolean, now: Instant): Placement {
    return choose(this.list, request, {
      now,
      dataCentre: this.dataCentre,
      isOwner,
      spread: this.isShort(now),
    });
  }

  /** What an answer on a route usually takes. */
  usualLatency(route: string): Millis {
    return (this.usual.get(route) ?? FIRST_ANSWER).latency;
  }

  /** How long an answer's body on a route usually is. */
  usualBytes(route: string): number {
    return (this.usual.get(route) ?? FIRST_ANSWER).bytes;
  }

  overdueAfter(route: string): Millis {
    return Math.max(OVERDUE_LEAST, OVERDUE_FACTOR * this.usualLatency(route));
  }

  /** Notes an answer's latency and length. */
  answered(track: Track, route: string, { latency, bytes }: UsualAnswer): void {
    const usual = this.usual.get(route) ?? { latency: FIRST_ANSWER.latency, bytes };
    track.timed(latency / Math.max(1, usual.latency));
    this.usual.set(route, {
      latency: usual.latency + (latency - usual.latency) * USUAL_WEIGHT,
      bytes: usual.bytes + (bytes - usual.bytes) * USUAL_WEIGHT,
    });
  }

  /** Takes what another node saw. */
  hear({ id, born, evidence }: Sighting, now: Instant): void {
    const track = this.tracks.get(id);
    if (!track || track.upstream.born !== born) return;
    track.lastSentAt = Math.max(track.lastSentAt, now);
    track.learn(evidence, now);
  }

  /** Notes whether a request was served in the end. */
  finished(served: boolean, now: Instant): void {
    this.served.push({ at: now, served });
  }

  /** Whether so many requests go unserved that the floor asks for more upstreams in use. */
  isShort(now: Instant): boolean {
    this.served = this.served.filter(({ at }) => at > now - UNSERVED_WINDOW);
    const unserved = this.served.filter(({ served }) => !served).length;
    return unserved >= SPREAD_SAMPLE && unserved / this.served.length > SPREAD_FROM;
  }
}
