import { usableCheckpoint } from '../../src/core';
import type { Config, Instant, Millis } from '../../src/model';
import type { ConfigFleet, Endpoint, FleetNode } from '../fakes/config-fleet';
import { contentOf, type ConfigOracle } from '../fakes/config-oracle';
import type { TimedCuts } from '../fakes/timed-cuts';

/** Time for which a node counts as fresh after the log last confirmed its version. */
const LOG_CONFIRMATION_TTL_MS: Millis = 2500;
/** Longest time from the acceptance of a version until reachable nodes have it in force. */
const IN_FORCE_BOUND_MS: Millis = 5000;
/** Time from the start of an outage or a partition after which its effects are checked. */
const SETTLING_TIME_MS: Millis = 8000;

/** The period during which a node reaches neither the log nor a majority. */
interface IsolationPeriod {
  readonly since: Instant;
  readonly until: Instant;
}

/** Whether the node has run without a pause since `since`. */
const isUpSince = (node: FleetNode, since: Instant): boolean =>
  node.startedAt <= since && node.pausedUntil <= since;

const fail = (node: FleetNode, what: string): never => {
  const { version, through } = node.state.tip;
  throw new Error(`${node.key} (version ${version}, through ${through}) ${what}`);
};

/**
 * Checks the invariants of the fleet's configuration while the simulation runs. Each check
 * throws an error with the node, its version and the number of records read.
 */
export class ConfigInvariants {
  private readonly highestVersion = new Map<FleetNode, number>();

  /** Periods in which a node is cut off from the log and a majority, in both directions. */
  private readonly isolationByNode = new Map<Endpoint, IsolationPeriod>();

  /** Number of nodes checked for a version that had to be in force. */
  inForceChecks = 0;

  /** Number of checks that a node in a connected majority stays fresh without the log. */
  majorityChecks = 0;

  /** Number of checks that an isolated node is stale. */
  staleChecks = 0;

  constructor(
    private readonly fleet: ConfigFleet,
    private readonly truth: ConfigOracle,
    private readonly cuts: TimedCuts,
  ) {}

  /** Checks a configuration that a node has put in force: newer than the last, same as the truth. */
  checkAccepted(node: FleetNode, config: Config): void {
    const { version } = config;
    const truth = this.truth.version(version);
    const broken = (what: string): never => fail(node, `${what} at version ${version}`);
    if (version <= (this.highestVersion.get(node) ?? 0)) broken('did not advance');
    this.highestVersion.set(node, version);
    if (truth?.chain !== node.state.tip.chain) broken('has another chain hash than the log');
    if (truth?.content !== contentOf(config)) broken('has another content than the log');
  }

  /** Records that a node is cut off from the log and a majority from `since` to `until`. */
  noteIsolated(key: Endpoint, since: Instant, until: Instant): void {
    const before = this.isolationByNode.get(key);
    this.isolationByNode.set(key, { since, until: Math.max(until, before?.until ?? 0) });
  }

  /** Checks all nodes that are not paused. */
  check(now: Instant): void {
    this.fleet.nodes.forEach((node) => {
      if (now < node.pausedUntil) return;
      this.checkFreshness(node, now);
      this.checkOutage(node, now);
      this.checkIsolated(node, now);
    });
  }

  /** Checks that a version accepted `IN_FORCE_BOUND_MS` ago is in force where it could arrive. */
  checkInForce(version: number, now: Instant): void {
    const since = now - IN_FORCE_BOUND_MS;
    const connected = [...this.fleet.nodes.values()].filter((node) =>
      this.wasFullyConnected(node, since),
    );
    const isMajority = connected.length * 2 > this.fleet.nodes.size;
    this.fleet.nodes.forEach((node) => {
      if (!isUpSince(node, since)) return;
      const reachable = this.cuts.isLogReachableSince(node.key, since - LOG_CONFIRMATION_TTL_MS);
      if (!reachable && !(isMajority && this.cuts.arePeerLinksUpSince(node.key, since))) return;
      this.inForceChecks += 1;
      if (node.state.tip.version < version)
        fail(node, `has not reached version ${version} within 5 s`);
    });
  }

  /** Checks that the log retains a checkpoint from which a new node can start. */
  private checkCheckpoint(): void {
    const { first } = this.fleet.stream;
    const values = this.fleet.stream.keptValues();
    const found = first === 0 || usableCheckpoint(values, first) !== undefined;
    if (!found) throw new Error('the log retains no checkpoint that a new node can use');
  }

  /** Checks that all nodes are fresh and at the newest version after all faults have ended. */
  checkSettled(now: Instant): void {
    this.checkCheckpoint();
    const { version } = this.truth.current;
    this.fleet.nodes.forEach((node) => {
      if (node.state.tip.version !== version) fail(node, `has not reached version ${version}`);
      if (!node.isFresh(now)) fail(node, 'is stale although all faults have ended');
    });
  }

  /** Whether the node ran, and reached the log and its peers, since `since`. */
  private wasFullyConnected(node: FleetNode, since: Instant): boolean {
    const { key } = node;
    const wasReachable =
      this.cuts.isLogReachableSince(key, since - LOG_CONFIRMATION_TTL_MS) &&
      this.cuts.arePeerLinksUpSince(key, since);
    return wasReachable && isUpSince(node, since);
  }

  private checkFreshness(node: FleetNode, now: Instant): void {
    if (node.state.freshness(node.localTime(now)) !== 'log') return;
    const minVersion = this.truth.versionAt(now - LOG_CONFIRMATION_TTL_MS - 1);
    if (node.state.tip.version < minVersion) fail(node, `is fresh below version ${minVersion}`);
  }

  /** Checks that a node in a connected majority stays fresh while no node reaches the log. */
  private checkOutage(node: FleetNode, now: Instant): void {
    if (this.cuts.logOutageAge(now) < SETTLING_TIME_MS) return;
    const since = now - SETTLING_TIME_MS;
    const connected = [...this.fleet.nodes.values()].filter(
      (each) => isUpSince(each, since) && this.cuts.arePeerLinksUpSince(each.key, since),
    );
    const isConnected = connected.includes(node) && node.state.tip.version > 0;
    if (!isConnected || connected.length * 2 <= this.fleet.nodes.size) return;
    this.majorityChecks += 1;
    if (!node.isFresh(now)) fail(node, 'is stale in a log outage although a majority is connected');
  }

  /** Checks that a node that reaches neither the log nor a majority is stale. */
  private checkIsolated(node: FleetNode, now: Instant): void {
    const isolation = this.isolationByNode.get(node.key);
    if (!isolation || now >= isolation.until) return;
    if (now - isolation.since < SETTLING_TIME_MS) return;
    this.staleChecks += 1;
    if (node.isFresh(now)) fail(node, 'is fresh although cut off from the log and a majority');
  }
}
