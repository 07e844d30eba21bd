/** Replays a load on the queue of one service, without upstreams: each start holds a slot. */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

import { randomUnit } from '../../../src/core/admission/random-unit';
import { RequestQueue, type QueuedRequest, type ServiceCapacity } from '../../../src/core/waiting';

/** A source of requests of one priority and workspace. */
export interface Source {
  readonly name: string;
  readonly priority: number;
  readonly workspace?: string | undefined;
  /** Requests a second at a time of the replay. */
  readonly rate: (now: number) => number;
}

/** What became of the requests of a source. */
export interface SourceResult {
  arrived: number;
  served: number;
  /** Requests that were refused on arrival, and those that waited first. */
  refusedAtOnce: number;
  refusedLate: number;
  /** Longest wait in milliseconds of a request that was then refused. */
  longestVainWait: number;
}

export interface Replay {
  readonly sources: readonly Source[];
  /** Slots of the service at a time of the replay. */
  readonly slots: (now: number) => number;
  /** Number of hosts that share the service's slots, of which this one gets an even part. */
  readonly hosts?: number;
  readonly latency: number;
  /** Time in milliseconds for which a request may wait. */
  readonly patience: number;
  readonly duration: number;
}

interface ReplayedRequest extends QueuedRequest {
  readonly result: SourceResult;
}

const STEP_MS = 5;
const DRAIN_INTERVAL_MS = 25;

/** Runs a replay with a fixed seed and returns the results by source name. */
export const runReplay = (replay: Replay): Readonly<Record<string, SourceResult>> => {
  const rng = xoroshiro128plus(7);
  const queue = new RequestQueue<ReplayedRequest>();
  const running: number[] = [];
  const { hosts = 1 } = replay;
  const results: Record<string, SourceResult> = {};
  replay.sources.forEach(({ name }) => {
    results[name] = { arrived: 0, served: 0, refusedAtOnce: 0, refusedLate: 0, longestVainWait: 0 };
  });
  const isFree = (now: number): boolean => running.length < replay.slots(now) / hosts;
  const start = (request: ReplayedRequest, now: number): void => {
    running.push(now + replay.latency);
    request.result.served += 1;
  };
  const capacityAt = (now: number): ServiceCapacity => ({
    slots: replay.slots(now),
    meanLatency: replay.latency,
  });
  const refuse = (requests: readonly ReplayedRequest[], now: number): void => {
    for (const { result, arrivedAt } of requests) {
      result.refusedLate += 1;
      result.longestVainWait = Math.max(result.longestVainWait, now - arrivedAt);
    }
  };
  const drain = (now: number): void => {
    refuse(queue.removeExpired(now), now);
    if (now % DRAIN_INTERVAL_MS === 0)
      refuse(
        queue.removeHopeless(() => capacityAt(now), now),
        now,
      );
    while (isFree(now)) {
      const next = queue.take(() => true);
      if (!next) return;
      queue.recordStart(next, now);
      start(next, now);
    }
  };
  const offer = (request: ReplayedRequest, now: number): void => {
    request.result.arrived += 1;
    if (queue.length === 0 && isFree(now)) {
      queue.recordImmediateStart(request);
      start(request, now);
      return;
    }
    if (queue.admit(request, capacityAt(now)).kind === 'wait') queue.add(request);
    else request.result.refusedAtOnce += 1;
  };
  for (let now = 0; now < replay.duration; now += STEP_MS) {
    const ended = running.filter((until) => until <= now).length;
    running.sort((a, b) => a - b).splice(0, ended);
    if (ended > 0 || now % DRAIN_INTERVAL_MS === 0) drain(now);
    replay.sources.forEach(({ name, priority, workspace, rate }) => {
      let expected = (rate(now) * STEP_MS) / 1000;
      for (; expected > 0; expected -= 1) {
        if (randomUnit(rng) >= expected) continue;
        const result = results[name]!;
        offer({ priority, workspace, arrivedAt: now, startBy: now + replay.patience, result }, now);
      }
    });
  }
  return results;
};

/** Returns the share of a source's requests that was served, 0 to 1. */
export const shareServed = ({ served, arrived }: SourceResult): number =>
  served / Math.max(1, arrived);

/** Returns one line with the figures of all sources, for the output of a test. */
export const describeResults = (results: Readonly<Record<string, SourceResult>>): string =>
  Object.entries(results)
    .map(([name, result]) => {
      const { arrived, refusedLate, longestVainWait } = result;
      const share = shareServed(result).toFixed(3);
      return `${name}: served ${share} of ${arrived}, ${refusedLate} refused after up to ${longestVainWait} ms`;
    })
    .join('; ');
