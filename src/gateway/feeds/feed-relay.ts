import type { IncomingMessage, Server, ServerResponse } from 'node:http';

import { detached, guarded } from '../../adapters/guarded';
import { FeedHistory } from '../../core/gateway';
import type { Millis, PositionedPage } from '../../model';
import type { Telemetry } from '../../ports';

import { createRequestServer, type ServerResources } from '../arriving/request-server';
import { ignoreBody } from '../arriving/unused-body';
import type { Holding } from '../memory';
import { encodeFeedFrame, FEEDS, type FeedFrame, type FeedName } from './feed-frames';

/** Path of the stream of frames; its last part is the version of the frames. */
export const FEED_STREAM_PATH = '/feeds/2';
/** Parameter of a subscriber that can inflate frames; one of an earlier build lacks it. */
export const DEFLATE_PARAM = 'deflate';
/** Interval in milliseconds between signs of contact with the store. */
export const FEED_BEAT_INTERVAL_MS: Millis = 500;
/** Interval in milliseconds at which contact with the store is checked. */
const CONTACT_CHECK_INTERVAL_MS: Millis = FEED_BEAT_INTERVAL_MS / 2;
/** Bytes queued for a subscriber above which it is dropped; it then reads elsewhere. */
const MAX_QUEUED_BYTES = 4 * 2 ** 20;
/** Maximum size in bytes of the headers of a peer's request, which may be a caller's. */
const MAX_HEADER_BYTES = 128 * 1024;
/** Number of requests of a peer at a time on one connection. */
const MAX_OPEN_COUNT = 1;

const OK = 200;
const NOT_FOUND = 404;
const SERVICE_UNAVAILABLE = 503;

/** Functions that the relay of the feeds calls. */
export interface FeedRelayPorts {
  /** Whether this gateway reads both feeds at the store and the store answers. */
  isInContact(): boolean;
  /** Reads at the store if the last answer of it is not recent; called at intervals. */
  proveContact(): Promise<void>;
  /** Handles a request of a peer that is not for the feeds; returns whether it did. */
  onOtherRequest(req: IncomingMessage, res: ServerResponse): boolean;
}

/** A gateway that reads from this one. */
interface Subscriber {
  readonly res: ServerResponse;
  readonly isDeflated: boolean;
  /** How far each feed has been sent. */
  readonly sent: Map<FeedName, number>;
  /** Counts what is queued for it. */
  readonly holding: Holding;
}

/** Returns a function that encodes a frame once for all subscribers of a kind. */
const frameEncoder = (frame: FeedFrame): ((subscriber: Subscriber) => Buffer) => {
  const encoded = new Map<boolean, Buffer>();
  return ({ isDeflated }) => {
    const bytes = encoded.get(isDeflated) ?? encodeFeedFrame(frame, isDeflated);
    encoded.set(isDeflated, bytes);
    return bytes;
  };
};

/** Counts what is queued for a subscriber; what the link takes at once is not. */
const countQueued = ({ res, holding }: Subscriber): void => {
  holding.resize(res.writableNeedDrain ? res.writableLength : 0);
};

/** Sends a subscriber a frame. */
const write = (subscriber: Subscriber, frame: Buffer): void => {
  subscriber.res.write(frame);
  // The runtime keeps what is written until the end of the turn.
  setImmediate(guarded('feed-relay queued', () => countQueued(subscriber)));
};

/**
 * Sends the feeds that this gateway reads at the store to other gateways of its data centre, as
 * streams of frames. A subscriber that takes a page in slowly gets the next one after it, without
 * records that were replaced meanwhile. Ends the streams as soon as it loses contact with the store.
 */
export class FeedRelay {
  readonly server: Server;

  private readonly histories: Readonly<Record<FeedName, FeedHistory>> = {
    config: new FeedHistory(),
    upstreams: new FeedHistory(),
  };

  private readonly subscribers = new Set<Subscriber>();

  private checkTimer: NodeJS.Timeout | undefined;

  private checkCount = 0;

  constructor(
    private readonly telemetry: Telemetry,
    private readonly resources: ServerResources,
    private readonly ports: FeedRelayPorts,
  ) {
    this.server = createRequestServer(
      resources,
      {
        place: 'feed-relay request',
        maxOpenCount: MAX_OPEN_COUNT,
        maxHeaderSize: MAX_HEADER_BYTES,
      },
      (req, res) => {
        if (ports.onOtherRequest(req, res)) return;
        ignoreBody(req, res);
        detached('feed-relay', this.subscribe(req.url ?? '', res));
      },
    );
  }

  /** Number of gateways that read from this one. */
  get subscriberCount(): number {
    return this.subscribers.size;
  }

  /** Adds a page to the history of its feed, and sends it to the subscribers. */
  publish(feed: FeedName, page: PositionedPage): void {
    const history = this.histories[feed];
    const before = history.position;
    history.add(page);
    if (history.position === before) return;
    const frameFor = frameEncoder({ kind: 'page', feed, page });
    this.subscribers.forEach((subscriber) => {
      if (subscriber.res.writableNeedDrain) return;
      subscriber.sent.set(feed, page.position);
      write(subscriber, frameFor(subscriber));
    });
  }

  /** Ends all streams if this gateway may no longer serve them. */
  review(): void {
    if (this.subscribers.size > 0 && !this.ports.isInContact()) this.endAll();
  }

  close(): void {
    this.endAll();
    this.server.close();
    this.server.closeAllConnections();
  }

  private async subscribe(target: string, res: ServerResponse): Promise<void> {
    const [path = '', query] = target.split('?');
    const params = new URLSearchParams(query);
    const positions = FEEDS.map((feed) => Number(params.get(feed) ?? NaN));
    const isValid = path === FEED_STREAM_PATH && positions.every(Number.isSafeInteger);
    if (isValid) await this.ports.proveContact();
    if (res.destroyed) return;
    const hasAll = FEEDS.every((feed) => this.histories[feed].position >= 0);
    if (!isValid || !hasAll || !this.ports.isInContact()) {
      res.writeHead(isValid ? SERVICE_UNAVAILABLE : NOT_FOUND).end();
      return;
    }
    res.writeHead(OK, { 'content-type': 'application/octet-stream' });
    const sent = FEEDS.map((feed, i): [FeedName, number] => [feed, positions[i] ?? -1]);
    this.serve({
      res,
      isDeflated: params.has(DEFLATE_PARAM),
      sent: new Map(sent),
      holding: this.resources.memory.open(
        { kind: 'gateway', id: res.socket?.remoteAddress ?? '' },
        () => res.destroy(),
      ),
    });
  }

  /** Sends a subscriber what it lacks, and all that follows until its stream ends. */
  private serve(subscriber: Subscriber): void {
    const { res } = subscriber;
    this.subscribers.add(subscriber);
    this.telemetry.count('feed_subscribers');
    res.on(
      'drain',
      guarded('feed-relay drain', () => this.onDrain(subscriber)),
    );
    res.on(
      'close',
      guarded('feed-relay close', () => {
        subscriber.holding.close();
        this.subscribers.delete(subscriber);
      }),
    );
    res.on(
      'error',
      guarded('feed-relay error', (err) =>
        this.telemetry.event('feed-subscriber-error', { error: err.message }),
      ),
    );
    FEEDS.forEach((feed) => this.sendRest(subscriber, feed));
    this.checkTimer ??= setInterval(
      guarded('feed-relay timer', () => this.checkContact()),
      CONTACT_CHECK_INTERVAL_MS,
    );
  }

  /** Sends a subscriber what follows the last page of a feed that it was sent. */
  private sendRest(subscriber: Subscriber, feed: FeedName): void {
    const page = this.histories[feed].since(subscriber.sent.get(feed) ?? -1);
    subscriber.sent.set(feed, page.position);
    write(subscriber, encodeFeedFrame({ kind: 'page', feed, page }, subscriber.isDeflated));
  }

  private onDrain(subscriber: Subscriber): void {
    countQueued(subscriber);
    const isBehind = (feed: FeedName): boolean =>
      (subscriber.sent.get(feed) ?? -1) < this.histories[feed].position;
    FEEDS.filter(isBehind).forEach((feed) => this.sendRest(subscriber, feed));
  }

  private checkContact(): void {
    this.review();
    if (this.subscribers.size === 0) {
      clearInterval(this.checkTimer);
      this.checkTimer = undefined;
      return;
    }
    detached('feed-relay', this.ports.proveContact());
    this.checkCount += 1;
    const isBeat = (this.checkCount * CONTACT_CHECK_INTERVAL_MS) % FEED_BEAT_INTERVAL_MS === 0;
    if (isBeat) this.sendToAll(encodeFeedFrame({ kind: 'beat' }));
  }

  private sendToAll(frame: Buffer): void {
    this.subscribers.forEach((subscriber) => {
      if (subscriber.res.writableLength > MAX_QUEUED_BYTES) subscriber.res.destroy();
      else write(subscriber, frame);
    });
  }

  private endAll(): void {
    this.subscribers.forEach(({ res }) => res.end());
    this.subscribers.clear();
  }
}
