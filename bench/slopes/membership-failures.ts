import type { Incarnation, MemberState } from '../../src/model';
import type { MembershipFleet } from '../../test/fakes/membership-fleet';

import { quantile, range, type Slope } from './measure';
import { frameOf, settledFleet } from './membership';
import { DATA_CENTRES } from './samples';

const FLEET_SIZES = [48, 96, 192];
const RACK_NODE_COUNT = 20;
const SINGLE_KILL_COUNT = 4;
/** Time for which a fleet runs after one host is lost. */
const SINGLE_FAILURE_WINDOW_MS = 6000;
/** Time for which a fleet runs after several hosts are lost. */
const FAILURE_WINDOW_MS = 15_000;
const PARTITION_DURATION_MS = 30_000;
/** Longest time to wait after a partition heals until all nodes agree. */
const HEAL_TIMEOUT_MS = 60_000;
const MILLIS_PER_SECOND = 1000;

/** Result of a run in which hosts are lost or leave. */
interface DepartureResult {
  /**
   * Milliseconds from the departure until a remaining node sees a departed one as dead or leaving,
   * one entry for each such pair; Infinity for pairs where that never happened.
   */
  readonly detectionTimes: readonly number[];
  /** Bytes sent by the mean node in the busiest second. */
  readonly peakBytesPerSecond: number;
  /** Number of seconds in which the mean node sent more than the control budget. */
  readonly secondsOverBudget: number;
}

/** Bytes a second that a node may send as control traffic. */
const CONTROL_BUDGET_BYTES_PER_SECOND = 11_000;

/** Runs a fleet and returns the bytes that the mean node sends in each second. */
const bytesBySecond = (fleet: MembershipFleet, size: number, until: number): readonly number[] => {
  const observed = fleet;
  const seconds: number[] = [];
  while (fleet.now < until) {
    let bytes = 0;
    observed.onSend = (_, message) => {
      bytes += frameOf(message).length;
    };
    fleet.runUntil(fleet.now + MILLIS_PER_SECOND);
    seconds.push(bytes / size);
  }
  observed.onSend = undefined;
  return seconds;
};

/** Records the time of each first report, at any node, of a lost node in the state `wanted`. */
const watchDetection = (
  fleet: MembershipFleet,
  lost: ReadonlySet<Incarnation>,
  wanted: MemberState,
): { readonly times: number[] } => {
  const observed = fleet;
  const start = fleet.now;
  const times: number[] = [];
  const seen = new Set<string>();
  observed.onChanged = ({ identity, membership }) => {
    membership.members().forEach(({ incarnation, state }) => {
      if (state !== wanted || !lost.has(incarnation)) return;
      const pair = `${identity.incarnation} ${incarnation}`;
      if (seen.has(pair)) return;
      seen.add(pair);
      times.push(fleet.now - start);
    });
  };
  return { times };
};

/** The way in which a node departs: a crash without notice, or a planned leave. */
type Departure = 'kill' | 'leave';

/** Makes the nodes at `places` depart at the same time. */
const measureDeparture = (
  size: number,
  places: readonly number[],
  seed: number,
  how: Departure = 'kill',
): DepartureResult => {
  const fleet = settledFleet(size, seed);
  const lost = new Set(places.flatMap((place) => fleet.node(place)?.identity.incarnation ?? []));
  const { times } = watchDetection(fleet, lost, how === 'kill' ? 'dead' : 'leaving');
  places.forEach((place) => fleet[how](place));
  const windowMs = places.length === 1 ? SINGLE_FAILURE_WINDOW_MS : FAILURE_WINDOW_MS;
  const seconds = bytesBySecond(fleet, size, fleet.now + windowMs);
  const expected = lost.size * (size - lost.size);
  const missing = range(expected - times.length).map(() => Infinity);
  return {
    detectionTimes: [...times, ...missing],
    peakBytesPerSecond: Math.max(...seconds),
    secondsOverBudget: seconds.filter((bytes) => bytes > CONTROL_BUDGET_BYTES_PER_SECOND).length,
  };
};

/** Returns the places of the nodes in the first data centre. */
const dataCentreNodes = (size: number): readonly number[] =>
  range(size).filter((place) => place % DATA_CENTRES.length === 0);

/**
 * Cuts three data centres from the others, then heals the partition. Returns the seconds from
 * healing until all nodes see all others alive, Infinity if they never do, and the bytes that the
 * mean node sends in the busiest second.
 */
const measurePartition = (size: number): { readonly agreement: number; readonly peak: number } => {
  const fleet = settledFleet(size, 5);
  const isWest = (place: number): boolean => place % DATA_CENTRES.length < 3;
  const cut = (from: number, to: number): boolean => isWest(from) !== isWest(to);
  fleet.cuts.add(cut);
  const partitionSeconds = bytesBySecond(fleet, size, fleet.now + PARTITION_DURATION_MS);
  fleet.cuts.delete(cut);
  const healingSeconds: number[] = [];
  const isAgreed = (): boolean =>
    fleet
      .runningNodes()
      .every(
        ({ membership }) =>
          membership.members().filter(({ state }) => state === 'alive').length === size,
      );
  const end = fleet.now + HEAL_TIMEOUT_MS;
  while (fleet.now < end && !isAgreed()) {
    healingSeconds.push(...bytesBySecond(fleet, size, fleet.now + MILLIS_PER_SECOND));
  }
  return {
    agreement: isAgreed() ? healingSeconds.length : Infinity,
    peak: Math.max(...partitionSeconds, ...healingSeconds),
  };
};

/** Measures detection times and traffic of membership when hosts, racks or data centres fail. */
export const membershipFailureSlopes = (): readonly Slope[] => {
  const singles = FLEET_SIZES.map((size) =>
    range(SINGLE_KILL_COUNT).map((i) => measureDeparture(size, [i], 10 + i)),
  );
  const leaves = FLEET_SIZES.map((size) =>
    [1, 2].map((i) => measureDeparture(size, [i], 20 + i, 'leave')),
  );
  const racks = FLEET_SIZES.map((size) =>
    measureDeparture(size, range(Math.min(RACK_NODE_COUNT, size / 4)), 3),
  );
  const dataCentres = FLEET_SIZES.map((size) => measureDeparture(size, dataCentreNodes(size), 4));
  const partitions = FLEET_SIZES.map(measurePartition);
  const slope = (what: string, unit: string, values: readonly number[]): Slope => ({
    role: 'member',
    what,
    unit,
    per: 'nodes',
    points: FLEET_SIZES.map((size, i) => [size, values[i] ?? NaN]),
  });
  const detectionTimeAt = (results: readonly DepartureResult[], share: number): number =>
    quantile(
      results.flatMap(({ detectionTimes }) => detectionTimes),
      share,
    );
  return [
    slope(
      'one host lost: held dead, p50',
      'ms',
      singles.map((results) => detectionTimeAt(results, 0.5)),
    ),
    slope(
      'one host lost: held dead, p99',
      'ms',
      singles.map((results) => detectionTimeAt(results, 0.99)),
    ),
    slope(
      'planned leave: held leaving, p99',
      'ms',
      leaves.map((results) => detectionTimeAt(results, 0.99)),
    ),
    slope(
      'rack lost: held dead, p99',
      'ms',
      racks.map((result) => detectionTimeAt([result], 0.99)),
    ),
    slope(
      'rack lost: busiest second',
      'B/s',
      racks.map(({ peakBytesPerSecond }) => peakBytesPerSecond),
    ),
    slope(
      'data centre lost: held dead, p99',
      'ms',
      dataCentres.map((result) => detectionTimeAt([result], 0.99)),
    ),
    slope(
      'data centre lost: busiest second',
      'B/s',
      dataCentres.map(({ peakBytesPerSecond }) => peakBytesPerSecond),
    ),
    slope(
      'data centre lost: over 11 KB/s',
      's',
      dataCentres.map(({ secondsOverBudget }) => secondsOverBudget),
    ),
    slope(
      'regions parted: all agree after healing',
      's',
      partitions.map(({ agreement }) => agreement),
    ),
    slope(
      'regions parted: busiest second',
      'B/s',
      partitions.map(({ peak }) => peak),
    ),
  ];
};
