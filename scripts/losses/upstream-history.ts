import type { LogEvent } from './log';

/** What an attempt showed of an upstream, at the time at which its host learned it. */
interface Sighting {
  readonly at: number;
  readonly host: string;
  readonly good: boolean;
}

/** What had been seen of an upstream before an attempt, by the attempt's host and by any other. */
export interface KnownBefore {
  /** The last outcome that any host had seen; undefined if none had seen one. */
  readonly last:
    { readonly good: boolean; readonly ageMs: number; readonly host: string } | undefined;
}

const numberOf = (value: unknown): number => (typeof value === 'number' ? value : 0);

/** Whether an event ends an attempt that an upstream answered, well or not. */
const sightingOf = ({ at, host, name, fields }: LogEvent): Sighting | undefined => {
  const { outcome, status } = fields;
  if (name === 'attempt') {
    if (outcome === 'served') return { at, host, good: true };
    return outcome === 'failed' || outcome === 'unknown' ? { at, host, good: false } : undefined;
  }
  // The first attempt of a request that succeeds is covered by the line of the request.
  const isFirstGood =
    name === 'request' && outcome === 'answer' && numberOf(status) < 500 && fields.attempts === 1;
  return isFirstGood ? { at, host, good: true } : undefined;
};

/** The outcomes that all hosts saw at each upstream, in order of time. */
export class UpstreamHistory {
  private readonly sightings = new Map<string, Sighting[]>();

  constructor(events: readonly LogEvent[]) {
    events.forEach((event) => {
      const sighting = sightingOf(event);
      const { upstream } = event.fields;
      if (!sighting || typeof upstream !== 'string') return;
      const known = this.sightings.get(upstream);
      if (known) known.push(sighting);
      else this.sightings.set(upstream, [sighting]);
    });
    this.sightings.forEach((known) => known.sort((a, b) => a.at - b.at));
  }

  /** Returns what had been seen of an upstream before a time. */
  before(upstream: string, at: number): KnownBefore {
    const earlier = (this.sightings.get(upstream) ?? []).filter((sighting) => sighting.at < at);
    const last = earlier.at(-1);
    return { last: last && { good: last.good, ageMs: at - last.at, host: last.host } };
  }
}
