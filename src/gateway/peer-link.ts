import dgram from 'node:dgram';

import { isObject, type Endpoint, type NodeAddress, type UnknownObject } from '../model';
import type { Telemetry } from '../ports';

/** Positions up to which a gateway has read the two feeds; -1 before the first read. */
export type FeedPositions = readonly [config: number, upstreams: number];

/** Functions that the link calls. */
export interface PeerService {
  /** Returns the positions that are sent along with every datagram. */
  feedPositions(): FeedPositions;
  /** Receives the positions that came with a datagram of a peer. */
  onPeerPositions(positions: FeedPositions): void;
  /** Receives a message; `body` is any JSON object and has to be checked. */
  onMessage(topic: PeerTopic, body: unknown): void;
}

/** Topics of messages between gateways: `sightings` are observations of upstreams. */
export type PeerTopic = 'membership' | 'sightings' | 'beliefs';

/** Address at which peers reach a gateway. */
export type PeerAddress = Pick<NodeAddress, 'address' | 'peerPort'>;

const TOPICS: ReadonlySet<unknown> = new Set<PeerTopic>(['membership', 'sightings', 'beliefs']);

const isFeedPositions = (value: unknown): value is FeedPositions =>
  Array.isArray(value) && value.length === 2 && value.every(Number.isSafeInteger);

/** Size in bytes above which a datagram is counted as large, as IP would fragment it. */
const MAX_DATAGRAM_BYTES = 1400;

/**
 * Sends and receives UDP datagrams between gateways, each a JSON array of topic, body and feed
 * positions. Lost datagrams are not repeated; later messages make up for them.
 */
export class DatagramLink {
  private readonly socket = dgram.createSocket('udp4');

  constructor(
    private readonly telemetry: Telemetry,
    private readonly service: PeerService,
  ) {
    this.socket.on('message', (bytes) => this.receive(bytes));
    this.socket.on('error', (err) => telemetry.event('peer-link-error', { error: err.message }));
  }

  /** Binds the socket; rejects if the port can't be bound. */
  listen({ address, port }: Endpoint): Promise<void> {
    return new Promise((resolve, reject) => {
      const onError = (err: NodeJS.ErrnoException): void =>
        reject(new Error(`can't listen on ${address}:${port}: ${err.code ?? err.message}`));
      this.socket.once('error', onError);
      this.socket.bind(port, address, () => {
        this.socket.off('error', onError);
        resolve();
      });
    });
  }

  send(to: PeerAddress, topic: PeerTopic, body: unknown): void {
    const bytes = Buffer.from(JSON.stringify([topic, body, this.service.feedPositions()]));
    if (bytes.length > MAX_DATAGRAM_BYTES) this.telemetry.count('datagrams_large', { topic });
    this.socket.send(bytes, to.peerPort, to.address, (err) => {
      if (err) this.telemetry.count('datagrams_unsent', { topic });
    });
  }

  close(): void {
    this.socket.close();
  }

  private receive(bytes: Buffer): void {
    let message: unknown;
    try {
      message = JSON.parse(bytes.toString('utf8'));
    } catch {
      this.telemetry.count('datagrams_refused', { reason: 'not-json' });
      return;
    }
    if (!Array.isArray(message) || !TOPICS.has(message[0]) || !isObject(message[1])) {
      this.telemetry.count('datagrams_refused', { reason: 'shape' });
      return;
    }
    const [topic, body, positions] = message as unknown as readonly [
      PeerTopic,
      UnknownObject,
      unknown,
    ];
    if (isFeedPositions(positions)) this.service.onPeerPositions(positions);
    this.service.onMessage(topic, body);
  }
}
