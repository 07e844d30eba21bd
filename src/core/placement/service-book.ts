import type {
  DataCentre,
  GatewayUpstream,
  Instant,
  Millis,
  ServiceName,
  UpstreamId,
} from '../../model';

import { choose, type Placement, type PlacementRequest } from './choose';
import { Track } from './track';

/** Span over which unserved requests are counted; the floor's window is 2 s. */
const UNSERVED_WINDOW: Millis = 1500;
/** Share of unserved requests at which work is spread; the floor binds from a tenth. */
const SPREAD_FROM = 0.05;
/** Fewer requests than this in the window say nothing. */
const SPREAD_SAMPLE = 6;
/** What an answer is assumed to take before any was seen. */
const FIRST_LATENCY: Millis = 300;
const LATENCY_WEIGHT = 0.05;
/** An answer is overdue after this many times the usual latency, and at least this long. */
const OVERDUE_FACTOR = 5;
const OVERDUE_LEAST: Millis = 600;

/** One served or unserved request. */
interface Served {
  readonly at: Instant;
  readonly served: boolean;
}

/** What was seen of an upstream by some node, to be shared. */
export interface Sighting {
  readonly id: UpstreamId;
  readonly born: number;
  readonly isGood: boolean;
}

/** The upstreams of one service and what this node knows of each. */
export class ServiceBook {
  private readonly tracks = new Map<UpstreamId, Track>();

  private list: readonly Track[] = [];

  private served: Served[] = [];

  /** Usual latencies by route, since a route's requests are alike. */
  private readonly usual = new Map<string, Millis>();

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
    else this.tracks.set(upstream.id, new Track(upstream, now));
    this.list = [...this.tracks.values()];
  }

  remove(id: UpstreamId): void {
    this.tracks.delete(id);
    this.list = [...this.tracks.values()];
  }

  place(request: PlacementRequest, now: Instant): Placement {
    return choose(this.list, request, {
      now,
      dataCentre: this.dataCentre,
      spread: this.isShort(now),
    });
  }

  /** What an answer on a route usually takes. */
  usualLatency(route: string): Millis {
    return this.usual.get(route) ?? FIRST_LATENCY;
  }

  overdueAfter(route: string): Millis {
    return Math.max(OVERDUE_LEAST, OVERDUE_FACTOR * this.usualLatency(route));
  }

  /** Notes an answer's latency. */
  timed(track: Track, route: string, latency: Millis): void {
    const usual = this.usualLatency(route);
    track.timed(latency / Math.max(1, usual));
    this.usual.set(route, usual + (latency - usual) * LATENCY_WEIGHT);
  }

  /** Takes what another node saw. */
  hear({ id, born, isGood }: Sighting, now: Instant): void {
    const track = this.tracks.get(id);
    if (!track || track.upstream.born !== born) return;
    track.lastSentAt = Math.max(track.lastSentAt, now);
    track.learn(isGood, now);
  }

  /** Notes whether a request was served in the end. */
  finished(served: boolean, now: Instant): void {
    this.served.push({ at: now, served });
  }

  /** Whether so many requests go unserved that the floor asks for more upstreams in use. */
  isShort(now: Instant): boolean {
    this.served = this.served.filter(({ at }) => at > now - UNSERVED_WINDOW);
    if (this.served.length < SPREAD_SAMPLE) return false;
    const unserved = this.served.filter(({ served }) => !served).length;
    return unserved / this.served.length > SPREAD_FROM;
  }
}
