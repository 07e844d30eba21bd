import dgram from 'node:dgram';

import { isObject, type Endpoint, type NodeAddress, type UnknownObject } from '../model';
import type { Telemetry } from '../ports';

/** How far a gateway has read the configuration and the upstreams; -1 before the first reading. */
export type FeedHeads = readonly [config: number, upstreams: number];

/** What a link asks and tells its gateway. */
export interface PeerService {
  heads(): FeedHeads;
  onHeads(heads: FeedHeads): void;
  onMessage(topic: PeerTopic, body: unknown): void;
}

/** Subjects that gateways talk about. */
export type PeerTopic = 'membership' | 'sightings' | 'beliefs';

/** Where a gateway is reached by its peers. */
export type PeerAddress = Pick<NodeAddress, 'address' | 'peerPort'>;

const TOPICS: ReadonlySet<unknown> = new Set<PeerTopic>(['membership', 'sightings', 'beliefs']);

const isHeads = (value: unknown): value is FeedHeads =>
  Array.isArray(value) && value.length === 2 && value.every(Number.isSafeInteger);

/** The largest datagram that is sent; larger ones would be split on the way. */
const MAX_DATAGRAM_BYTES = 1400;

/** Datagrams between gateways. A lost one is made up for by later ones. */
export class DatagramLink {
  private readonly socket = dgram.createSocket('udp4');

  constructor(
    private readonly telemetry: Telemetry,
    private readonly service: PeerService,
  ) {
    this.socket.on('message', (bytes) => this.receive(bytes));
    this.socket.on('error', (err) => telemetry.event('peer-link-error', { error: err.message }));
  }

  listen({ address, port }: Endpoint): Promise<void> {
    return new Promise((resolve) => {
      this.socket.bind(port, address, resolve);
    });
  }

  send(to: PeerAddress, topic: PeerTopic, body: unknown): void {
    const bytes = Buffer.from(JSON.stringify([topic, body, this.service.heads()]));
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
    const [topic, body, heads] = message as unknown as readonly [PeerTopic, UnknownObject, unknown];
    if (isHeads(heads)) this.service.onHeads(heads);
    this.service.onMessage(topic, body);
  }
}
