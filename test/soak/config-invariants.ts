import { usableCheckpoint } from '../../src/core';
import type { Config, Instant, Millis } from '../../src/model';
import type { ConfigFleet, Endpoint, FleetNode } from '../fakes/config-fleet';
import { contentOf, type ConfigOracle } from '../fakes/config-oracle';
import type { TimedCuts } from '../fakes/timed-cuts';

const LOG_CONFIRMATION_TTL_MS: Millis = 2500;
const IN_FORCE_WITHIN: Millis = 5000;
const SETTLED_AFTER: Millis = 8000;

/** When a node is cut off. */
interface Separation {
  readonly since: Instant;
  readonly until: Instant;
}

const isUp = (node: FleetNode, since: Instant): boolean =>
  node.startedAt <= since && node.pausedUntil <= since;

const fail = (node: FleetNode, what: string): never => {
  const { version, through } = node.state.tip;
  throw new Error(`${node.key} (version ${version}, through ${through}) ${what}`);
};

/** What must hold of the fleet's configuration, checked as the run goes. Throws when broken. */
export class ConfigInvariants {
  private readonly highest = new Map<FleetNode, number>();

  /** Nodes cut off from the log and a majority, both ways: from when until when. */
  private readonly separations = new Map<Endpoint, Separation>();

  inForceChecks = 0;

  majorityChecks = 0;

  staleChecks = 0;

  constructor(
    private readonly fleet: ConfigFleet,
    private readonly truth: ConfigOracle,
    private readonly cuts: TimedCuts,
  ) {}

  /** A node has put a configuration in force. */
  accepted(node: FleetNode, config: Config): void {
    const { version } = config;
    const truth = this.truth.version(version);
    const broken = (what: string): never => fail(node, `${what} at version ${version}`);
    if (version <= (this.highest.get(node) ?? 0)) broken('stepped back');
    this.highest.set(node, version);
    if (truth?.chain !== node.state.tip.chain) broken('differs in its chain');
    if (truth?.content !== contentOf(config)) broken('differs in its content');
  }

  /** A node is cut off from the log and a majority from now on. */
  separated(key: Endpoint, since: Instant, until: Instant): void {
    const before = this.separations.get(key);
    this.separations.set(key, { since, until: Math.max(until, before?.until ?? 0) });
  }

  /** Checks all nodes that run now. */
  check(now: Instant): void {
    this.fleet.nodes.forEach((node) => {
      if (now < node.pausedUntil) return;
      this.checkFreshness(node, now);
      this.checkOutage(node, now);
      this.checkSeparated(node, now);
    });
  }

  /** Checks that a version accepted a while ago is in force where news could get through. */
  checkInForce(version: number, now: Instant): void {
    const since = now - IN_FORCE_WITHIN;
    const helpers = [...this.fleet.nodes.values()].filter((node) => this.heardAll(node, since));
    const enough = helpers.length * 2 > this.fleet.nodes.size;
    this.fleet.nodes.forEach((node) => {
      if (!isUp(node, since)) return;
      const reachable = this.cuts.isLogReachableSince(node.key, since - LOG_CONFIRMATION_TTL_MS);
      if (!reachable && !(enough && this.cuts.arePeerLinksUpSince(node.key, since))) return;
      this.inForceChecks += 1;
      if (node.state.tip.version < version) fail(node, `lacks version ${version} after 5 s`);
    });
  }

  /** Checks that the log keeps a checkpoint from which a new node can go on. */
  private checkCheckpoint(): void {
    const { first } = this.fleet.stream;
    const values = this.fleet.stream.keptValues();
    const found = first === 0 || usableCheckpoint(values, first) !== undefined;
    if (!found) throw new Error('the log keeps no checkpoint that a new node can use');
  }

  /** Checks that all nodes have come to the newest version once all is well. */
  checkSettled(now: Instant): void {
    this.checkCheckpoint();
    const { version } = this.truth.current;
    this.fleet.nodes.forEach((node) => {
      if (node.state.tip.version !== version) fail(node, `has not come to ${version}`);
      if (!node.isFresh(now)) fail(node, 'is stale though all is well');
    });
  }

  private heardAll(node: FleetNode, since: Instant): boolean {
    const { key } = node;
    const wasWell =
      this.cuts.isLogReachableSince(key, since - LOG_CONFIRMATION_TTL_MS) &&
      this.cuts.arePeerLinksUpSince(key, since);
    return wasWell && isUp(node, since);
  }

  private checkFreshness(node: FleetNode, now: Instant): void {
    if (node.state.freshness(node.localTime(now)) !== 'log') return;
    const least = this.truth.versionAt(now - LOG_CONFIRMATION_TTL_MS - 1);
    if (node.state.tip.version < least) fail(node, `takes work below version ${least}`);
  }

  /** While the log is away from all, a node among a well-connected majority goes on. */
  private checkOutage(node: FleetNode, now: Instant): void {
    if (this.cuts.logOutageAge(now) < SETTLED_AFTER) return;
    const since = now - SETTLED_AFTER;
    const well = [...this.fleet.nodes.values()].filter(
      (each) => isUp(each, since) && this.cuts.arePeerLinksUpSince(each.key, since),
    );
    const isWell = well.includes(node) && node.state.tip.version > 0;
    if (!isWell || well.length * 2 <= this.fleet.nodes.size) return;
    this.majorityChecks += 1;
    if (!node.isFresh(now)) fail(node, 'stops in an outage of the log');
  }

  /** A node that hears neither the log nor a majority stops. */
  private checkSeparated(node: FleetNode, now: Instant): void {
    const separation = this.separations.get(node.key);
    if (!separation || now >= separation.until) return;
    if (now - separation.since < SETTLED_AFTER) return;
    this.staleChecks += 1;
    if (node.isFresh(now)) fail(node, 'takes work though cut off from a majority');
  }
}
