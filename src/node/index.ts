/** One node of the fleet, from start to stop. */
import type { Server } from 'node:http';

import { Left, Right, type Either } from 'purify-ts';

import { listen, type ListenError } from '../adapters';
import type { NodeIdentity, Settings } from '../model';

import { createContext, type NodeContext } from './context';
import { createParts, type Parts } from './parts';
import { createServers, type Servers } from './servers';

/** Time in milliseconds for which peers and callers can learn that this node is leaving. */
const LEAVE_NOTICE_MS = 1500;

/** Time in milliseconds for the heir to confirm the handover; calls in flight settle later. */
const HANDOVER_TIMEOUT_MS = 2000;
/** Time in milliseconds for the last messages to be sent before the sockets are closed. */
const STOP_NOTICE_MS = 100;

/** Tells why a node could not start. */
export type StartError = ListenError;

const wait = (millis: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, millis);
  });

/** Runs one node of the fleet in this process. */
export class Node {
  private readonly context: NodeContext;

  private readonly parts: Parts;

  private readonly servers: Servers;

  private leaving: Promise<void> | undefined;

  /** Resolves once a planned stop has ended. */
  readonly stopped: Promise<void>;

  private resolveStopped: (() => void) | undefined;

  /** Creates a node that is not listening yet; `write` receives its log lines. */
  constructor(
    private readonly settings: Settings,
    write: (line: string) => void,
  ) {
    this.stopped = new Promise((resolve) => {
      this.resolveStopped = resolve;
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

  /** Listens, joins the fleet and follows the configuration. Closes the node if it can't listen. */
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
   * Stops the node as planned: accepts no new callers, hands its keys over to another node, and
   * ends once no call is in flight or the drain timeout has passed.
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
    // Peers still hand over homes and ask for the outcome of calls, so only the caller port closes.
    this.servers.caller.close();
    await Promise.race([inFlight.whenIdle(), wait(this.settings.limits.drainTimeout)]);
    await membership.stop();
    await wait(STOP_NOTICE_MS);
    telemetry.event('node-stopped', { inFlight: inFlight.size });
    this.close();
    this.resolveStopped?.();
  }

  /** Closes all sockets and stops all timers immediately. */
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

  /** Returns the three listeners. */
  private get all(): readonly Server[] {
    return [this.servers.caller, this.servers.peer, this.servers.operator];
  }
}
