import { headerConventions } from '../../../platform';
import { FreshnessExchange } from '../../../src/gateway/peers/freshness-exchange';
import type { CallerRequest } from '../../../src/gateway/request/caller-request';
import {
  WorkspaceAccess,
  type AccessDecision,
} from '../../../src/gateway/arriving/workspace-access';
import type { GatewayContext } from '../../../src/gateway';
import type { GatewayConfig, GatewayRoute, GatewayWorkspace, Member } from '../../../src/model';
import { silentTelemetry } from '../../fakes/telemetry';

import type { KeyWorld } from './key-world';
import type { SimulatedStore } from './simulated-store';

const READ_TIMEOUT_MS = 800;
const URGENT_READ_TIMEOUT_MS = 400;
const RETRY_DELAY_MS = 250;
const IDLE_WAIT_MS = 3000;
const BATCH_PAUSE_MS = 300;
const WORKSPACE: GatewayWorkspace = { name: 'w', priority: undefined, quota: undefined };

const UNUSED_TOKEN = { seq: 1, index: 0, usableFrom: 0, expiresAt: Number.POSITIVE_INFINITY };

/** Functions of the fleet that a host calls. */
export interface HostPorts {
  members(): readonly Member[];
  deliver(from: SimulatedHost, to: string, body: unknown): void;
  /** Passes on what this host has applied to the hosts that read from it. */
  publish(from: SimulatedHost): void;
}

/**
 * A host with its clocks, its follower of the configuration in simulated form, and the real exchange and
 * access decision. While it stands still, whatever happens to it waits: timers, then messages.
 */
export class SimulatedHost {
  readonly exchange: FreshnessExchange;

  readonly telemetry = silentTelemetry();

  /** Up to where the configuration is applied. */
  position = 0;

  /** Whether the last read at the store succeeded. */
  isInContact = false;

  /** The reader that passes the pages on; undefined while the host reads at the store. */
  source: SimulatedHost | undefined;

  /** When the host last ran again after it had stood still. */
  ranAgainAt = 0;

  wallOffset = 1e12;

  isStill = false;

  private lostTime = 0;

  private stillSince = 0;

  private dueTimers: (() => void)[] = [];

  private inputs: (() => void)[] = [];

  private isReading = false;

  private failures = 0;

  private readonly access: WorkspaceAccess;

  constructor(
    readonly member: Member,
    private readonly world: KeyWorld,
    private readonly store: SimulatedStore,
    private readonly ports: HostPorts,
  ) {
    const context: GatewayContext = {
      settings: {
        dataCentre: member.dataCentre,
        listen: { peers: { address: member.address, port: member.peerPort } },
      } as GatewayContext['settings'],
      clock: { now: () => this.world.time.now - this.lostTime, wall: () => this.wall },
      telemetry: this.telemetry,
      headerConventions,
      random: world.random,
    };
    this.exchange = new FreshnessExchange(
      context,
      { send: (to, _, body) => ports.deliver(this, to.address, body) },
      {
        revocationTime: () => (this.position > 0 ? world.revocationTime : undefined),
        self: member.incarnation,
        members: () => ports.members(),
        source: () => this.source?.member.incarnation,
        readsAtStore: () => this.source === undefined,
        readStore: () => {
          if (this.failures <= 1 || this.source) this.read(0, () => {});
          return Promise.resolve();
        },
      },
      {
        after: (millis, action) => this.timer(millis, action),
        afterPendingInput: (action) => this.timer(0.01, action),
      },
    );
    this.access = new WorkspaceAccess(
      context,
      this.exchange,
      { take: () => Promise.resolve({ kind: 'granted', token: UNUSED_TOKEN }), giveBack: () => {} },
      () => this.config(),
    );
  }

  get name(): string {
    return this.member.address;
  }

  /** Decides on a request that has arrived. */
  serve(key: string, onDecision: (kind: AccessDecision) => void): void {
    this.input(() => {
      if (this.position === 0) return;
      const request = { rawHeaders: ['X-Api-Key', key] } as unknown as CallerRequest;
      void this.access
        .decide(request, { isPublic: false } as GatewayRoute)
        .then((decision) => this.input(() => onDecision(decision)));
    });
  }

  /** Runs an action that a message causes, when the host runs. */
  input(action: () => void): void {
    if (this.isStill) this.inputs.push(action);
    else action();
  }

  /** Stops the host; a suspended one loses the time on its monotonic clock. */
  stop(): void {
    if (this.isStill) return;
    this.isStill = true;
    this.stillSince = this.world.time.now;
  }

  resume(wasSuspended: boolean): void {
    if (!this.isStill) return;
    this.isStill = false;
    this.ranAgainAt = this.world.time.now;
    if (wasSuspended) this.lostTime += this.world.time.now - this.stillSince;
    const due = [...this.dueTimers, ...this.inputs];
    this.dueTimers = [];
    this.inputs = [];
    due.forEach((action) => this.input(action));
  }

  /** Follows the configuration from now on. */
  follow(): void {
    if (this.source || this.isReading) return;
    this.isReading = true;
    const startedAt = this.world.time.now;
    const longest = this.exchange.maxProofWait();
    const wait = longest === undefined ? IDLE_WAIT_MS : longest * this.world.between(0.8, 1);
    const before = this.position;
    this.read(this.failures > 0 || before === 0 ? 0 : wait, () => {
      this.isReading = false;
      const retryIn = startedAt + RETRY_DELAY_MS - this.world.time.now;
      if (this.failures > 0) this.timer(Math.max(0, retryIn), () => this.follow());
      else this.timer(this.position > before ? BATCH_PAUSE_MS : 0, () => this.follow());
    });
  }

  /** Takes a page that another host has read. */
  applyRelayed(position: number): void {
    if (position < this.position) return;
    this.position = position;
    this.failures = 0;
    this.exchange.onApplied(position);
  }

  private get wall(): number {
    return Math.floor(this.world.time.now + this.wallOffset);
  }

  private config(): GatewayConfig {
    const keys = this.store.keysAt(this.position);
    return {
      workspacesByKey: new Map([...keys].map((key) => [key, WORKSPACE])),
    } as unknown as GatewayConfig;
  }

  private timer(millis: number, action: () => void): void {
    this.world.time.after(millis, () => {
      if (this.isStill) this.dueTimers.push(action);
      else action();
    });
  }

  /** Reads at the store; `onEnd` is called when the read has succeeded or failed. */
  private read(wait: number, onEnd: () => void): void {
    const { world } = this;
    world.storeReads += 1;
    const from = this.position;
    const onApplied = this.exchange.onReadStart(wait);
    let isOver = false;
    const fail = (): void => {
      if (isOver) return;
      isOver = true;
      this.failures += 1;
      this.isInContact = false;
      onEnd();
    };
    this.timer(wait + (this.failures > 0 ? URGENT_READ_TIMEOUT_MS : READ_TIMEOUT_MS), fail);
    const isLost = (): boolean =>
      world.isCut(this.name, 'store') || world.time.now < world.storeDownUntil;
    world.time.after(world.between(0.5, 12), () => {
      if (isLost()) return;
      this.store.read(from, wait, ({ position }) =>
        world.time.after(world.between(0.5, 12), () => {
          if (isLost()) return;
          this.input(() => {
            if (isOver) return;
            isOver = true;
            this.failures = 0;
            this.isInContact = true;
            this.position = Math.max(this.position, position);
            this.exchange.onApplied(this.position);
            onApplied({ position, isEmpty: position === from });
            this.ports.publish(this);
            onEnd();
          });
        }),
      );
    });
  }
}
