/** One node of the fleet: its life from start to stop. */
import type { Server } from 'node:http';

import { Left, Right, type Either } from 'purify-ts';

import { listen, type ListenError } from '../adapters';
import type { NodeIdentity, Settings } from '../model';

import { createContext, type NodeContext } from './context';
import { createParts, type Parts } from './parts';
import { createServers, type Servers } from './servers';

/** How long peers and callers are given to learn that this node leaves. */
const LEAVE_NOTICE_MS = 1500;

/** How long a stopping node waits for its heir's word; what is in flight settles later. */
const HANDOVER_TIMEOUT_MS = 2000;
const STOP_NOTICE_MS = 100;

/** Why a node can't start. */
export type StartError = ListenError;

const wait = (millis: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, millis);
  });

/** A process of the fleet. */
export class Node {
  private readonly context: NodeContext;

  private readonly parts: Parts;

  private readonly servers: Servers;

  private leaving: Promise<void> | undefined;

  /** Resolves once a planned stop has ended. */
  readonly stopped: Promise<void>;

  private settleStopped: (() => void) | undefined;

  /** `write` takes the node's log lines. */
  constructor(
    private readonly settings: Settings,
    write: (line: string) => void,
  ) {
    this.stopped = new Promise((resolve) => {
      this.settleStopped = resolve;
    });
    this.context = createContext(settings, write);
    this.parts = createParts(settings, this.context);
    this.servers = createServers(settings, this.context, this.parts, {
      isLeaving: () => this.leaving !== undefined,
      drain: () => {
        void this.drain();
      },
    });
  }

  get self(): NodeIdentity {
    return this.context.self;
  }

  /** Listens, joins the fleet and follows the configuration. */
  async start(): Promise<Either<StartError, Node>> {
    const { address, callerPort, peerPort, operatorPort } = this.settings.listen;
    const opened = await Promise.all([
      listen(this.servers.peer, address, peerPort),
      listen(this.servers.caller, address, callerPort),
      listen(this.servers.operator, address, operatorPort),
    ]);
    const [failed] = opened.flatMap((server) => server.swap().toMaybe().toList());
    if (failed) {
      this.close();
      return Left(failed);
    }
    void this.parts.hostListPoller.start();
    const { incarnation, dataCentre } = this.self;
    this.context.telemetry.event('node-ready', {
      incarnation,
      dataCentre,
      address,
      callerPort,
      peerPort,
      operatorPort,
    });
    return Right(this);
  }

  /**
   * A planned stop: takes no new callers, has the other nodes take over, and ends once nothing
   * is under way, or at the drain timeout.
   */
  drain(): Promise<void> {
    this.leaving ??= this.leave();
    return this.leaving;
  }

  private async leave(): Promise<void> {
    const { inFlight, membership, keys } = this.parts;
    const { telemetry, clock } = this.context;
    telemetry.event('node-leaving', { inFlight: inFlight.size });
    await membership.leave();
    await wait(LEAVE_NOTICE_MS);
    await keys.handover.handOver(clock.now() + HANDOVER_TIMEOUT_MS);
    // The others still hand over and ask after calls; only callers are turned away.
    this.servers.caller.close();
    await Promise.race([inFlight.idle(), wait(this.settings.limits.drainTimeout)]);
    await membership.stop();
    await wait(STOP_NOTICE_MS);
    telemetry.event('node-stopped', { inFlight: inFlight.size });
    this.close();
    this.settleStopped?.();
  }

  /** Ends all sockets and timers at once. */
  close(): void {
    const { hostListPoller, config, owner, membership, peers, keys } = this.parts;
    hostListPoller.close();
    config.close();
    owner.close();
    membership.close();
    keys.close();
    peers.close();
    this.all.forEach((server) => {
      server.close();
      server.closeAllConnections();
    });
  }

  private get all(): readonly Server[] {
    return [this.servers.caller, this.servers.peer, this.servers.operator];
  }
}
