import http, { type IncomingMessage, type Server, type ServerResponse } from 'node:http';

import { detached, guarded } from '../../adapters/guarded';
import { FeedHistory } from '../../core/gateway';
import type { Millis, PositionedPage } from '../../model';
import type { Telemetry } from '../../ports';

import { closeIdleOnceRead } from '../arriving/idle-timeout';
import { ignoreBody } from '../arriving/unused-body';
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
    private readonly ports: FeedRelayPorts,
  ) {
    this.server = http.createServer(
      { maxHeaderSize: MAX_HEADER_BYTES },
      guarded(
        'feed-relay request',
        (req: IncomingMessage, res: ServerResponse) => {
          if (ports.onOtherRequest(req, res)) return;
          ignoreBody(req, res);
          detached('feed-relay', this.subscribe(req.url ?? '', res));
        },
        (req) => req.socket.destroy(),
      ),
    );
    closeIdleOnceRead(this.server);
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
      subscriber.res.write(frameFor(subscriber));
      subscriber.sent.set(feed, page.position);
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
    const isDeflated = params.has(DEFLATE_PARAM);
    const subscriber: Subscriber = { res, isDeflated, sent: new Map(sent) };
    FEEDS.forEach((feed) => this.sendRest(subscriber, feed));
    this.subscribers.add(subscriber);
    this.telemetry.count('feed_subscribers');
    res.on(
      'drain',
      guarded('feed-relay drain', () => this.onDrain(subscriber)),
    );
    res.on(
      'close',
      guarded('feed-relay close', () => this.subscribers.delete(subscriber)),
    );
    res.on(
      'error',
      guarded('feed-relay error', (err) =>
        this.telemetry.event('feed-subscriber-error', { error: err.message }),
      ),
    );
    this.checkTimer ??= setInterval(
      guarded('feed-relay timer', () => this.checkContact()),
      CONTACT_CHECK_INTERVAL_MS,
    );
  }

  /** Sends a subscriber what follows the last page of a feed that it was sent. */
  private sendRest(subscriber: Subscriber, feed: FeedName): void {
    const page = this.histories[feed].since(subscriber.sent.get(feed) ?? -1);
    subscriber.res.write(encodeFeedFrame({ kind: 'page', feed, page }, subscriber.isDeflated));
    subscriber.sent.set(feed, page.position);
  }

  private onDrain(subscriber: Subscriber): void {
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
    this.subscribers.forEach(({ res }) => {
      if (res.writableLength > MAX_QUEUED_BYTES) res.destroy();
      else res.write(frame);
    });
  }

  private endAll(): void {
    this.subscribers.forEach(({ res }) => res.end());
    this.subscribers.clear();
  }
}
