import type { Socket } from 'node:net';

import { AcceptedConnections, maxAcceptedCount } from '../../core/connections';

import type { GatewayContext } from '../context';

/**
 * Keeps the number of connections within the descriptors of the host: beyond what it may accept, a
 * new connection takes the place of one that is idle or that isn't read from, or else is closed.
 */
export class HostConnections {
  private readonly accepted: AcceptedConnections<Socket>;

  /** `openedCount` returns the number of connections that the gateway itself has open. */
  constructor(
    private readonly context: Pick<GatewayContext, 'clock' | 'settings' | 'telemetry'>,
    private readonly openedCount: () => number = () => 0,
  ) {
    this.accepted = new AcceptedConnections({
      now: () => context.clock.now(),
      of: ({ bytesWritten, writableLength: waiting }) => ({
        taken: bytesWritten - waiting,
        waiting,
      }),
    });
  }

  /** Takes a connection that has been accepted. */
  add(socket: Socket): void {
    this.accepted.add(socket);
    const { maxSockets } = this.context.settings.limits;
    if (this.accepted.count <= maxAcceptedCount(maxSockets, this.openedCount())) return;
    const closed = this.accepted.toClose(socket) ?? socket;
    const { telemetry } = this.context;
    const why = closed === socket ? 'refused' : 'replaced';
    telemetry.count('connections_closed_for_descriptors', { why });
    this.accepted.remove(closed);
    closed.destroy();
  }

  /** Notes that a connection has closed. */
  remove(socket: Socket): void {
    this.accepted.remove(socket);
  }

  /** Notes that a request begins. */
  begin(socket: Socket): void {
    this.accepted.begin(socket);
  }

  /** Notes that the response to a request has ended. */
  end(socket: Socket): void {
    this.accepted.end(socket);
  }
}
