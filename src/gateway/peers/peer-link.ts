import dgram from 'node:dgram';

import { guarded } from '../../adapters/guarded';
import type { Endpoint, FeedPositions } from '../../model';
import type { Telemetry } from '../../ports';

import { PortError } from '../listening';
import { decodeDatagram, encodeDatagram, type PeerTopic } from './datagram';
import type { PeerAddress } from './peer-address';

/** Functions that the link calls. */
export interface PeerService {
  /** Returns the positions that are sent along with every datagram. */
  feedPositions(): FeedPositions;
  /** Receives the positions that came with a datagram of a peer. */
  onPeerPositions(positions: FeedPositions): void;
  /** Receives a message; `body` is any JSON object and has to be checked. */
  onMessage(topic: PeerTopic, body: unknown): void;
}

/** Size in bytes above which a datagram is counted as large, as IP would fragment it. */
export const MAX_DATAGRAM_BYTES = 1400;
/**
 * Size in bytes of the datagrams that may wait to be sent; further ones are dropped. The runtime's own
 * queue has no bound, and says nothing of those whose address is being looked up.
 */
const MAX_UNSENT_BYTES = 4 * 2 ** 20;

/**
 * Sends and receives UDP datagrams between gateways. Lost datagrams are not repeated; later messages make up for them.
 */
export class DatagramLink {
  private readonly socket = dgram.createSocket('udp4');

  /** Size of the datagrams that wait to be sent. */
  private unsentBytes = 0;

  constructor(
    private readonly telemetry: Telemetry,
    private readonly service: PeerService,
  ) {
    this.socket.on(
      'message',
      guarded('peer-link message', (bytes) => this.receive(bytes)),
    );
  }

  /** Binds the socket; rejects with a `PortError` if the port can't be bound. */
  listen({ address, port }: Endpoint): Promise<void> {
    return new Promise((resolve, reject) => {
      const onError = guarded('peer-link error', (err: NodeJS.ErrnoException) =>
        reject(new PortError({ address, port }, err.code ?? err.message)),
      );
      this.socket.once('error', onError);
      const onBound = guarded('peer-link bound', () => {
        this.socket.off('error', onError);
        this.socket.on(
          'error',
          guarded('peer-link error', (err) =>
            this.telemetry.event('peer-link-error', { error: err.message }),
          ),
        );
        resolve();
      });
      this.socket.bind(port, address, onBound);
    });
  }

  send(to: PeerAddress, topic: PeerTopic, body: unknown): void {
    this.sendToAll([to], topic, body);
  }

  /** Sends the same message to several gateways, and encodes it once for each of their versions. */
  sendToAll(peers: readonly PeerAddress[], topic: PeerTopic, body: unknown): void {
    const positions = this.service.feedPositions();
    const encoded = new Map<number | undefined, Buffer>();
    peers.forEach((to) => {
      const bytes =
        encoded.get(to.datagramVersion) ??
        encodeDatagram({ topic, body, positions }, to.datagramVersion);
      encoded.set(to.datagramVersion, bytes);
      this.transmit(to, topic, bytes);
    });
  }

  private transmit(to: PeerAddress, topic: PeerTopic, bytes: Buffer): void {
    if (bytes.length > MAX_DATAGRAM_BYTES) this.telemetry.count('datagrams_large', { topic });
    if (this.unsentBytes + bytes.length > MAX_UNSENT_BYTES) {
      this.telemetry.count('datagrams_unsent', { topic });
      return;
    }
    this.unsentBytes += bytes.length;
    const onSent = guarded('peer-link sent', (err: Error | null) => {
      this.unsentBytes -= bytes.length;
      if (err) this.telemetry.count('datagrams_unsent', { topic });
    });
    this.socket.send(bytes, to.peerPort, to.address, onSent);
  }

  close(): void {
    this.socket.close();
  }

  private receive(bytes: Buffer): void {
    const datagram = decodeDatagram(bytes);
    if (!datagram) {
      this.telemetry.count('datagrams_refused', { reason: 'malformed' });
      return;
    }
    this.service.onPeerPositions(datagram.positions);
    this.service.onMessage(datagram.topic, datagram.body);
  }
}
