import http, { type ClientRequest, type IncomingMessage } from 'node:http';

import { guarded } from '../../adapters/guarded';
import type { FeedSource } from '../../core/gateway';
import type { Incarnation, Member, Millis, PositionedPage, FeedPositions } from '../../model';
import type { Telemetry } from '../../ports';

import type { Holding, HostMemory } from '../memory';
import { FeedFrameDecoder, type FeedFrame, type FeedName } from './feed-frames';
import { DEFLATE_PARAM, FEED_BEAT_INTERVAL_MS, FEED_STREAM_PATH } from './feed-relay';

/** Time in milliseconds without a frame after which a reader is taken to have failed. */
const SILENCE_TIMEOUT_MS: Millis = FEED_BEAT_INTERVAL_MS + 300;
/** Time in milliseconds after which a reader that failed may be tried again. */
const RETRY_DELAY_MS: Millis = 1000;

/**
 * Time in milliseconds within which the next reader should send its first frame after one is lost.
 * A change of readers would otherwise cost two reads of the store for each of their subscribers.
 */
const TAKEOVER_TIMEOUT_MS: Millis = 300;
const SILENT = 'silent';

/** Functions that a subscription calls. */
export interface FeedSubscriber {
  /** Returns how far this gateway has read the feeds. */
  positions(): FeedPositions;
  /** Receives a page; returns whether it could be applied. */
  onPage(feed: FeedName, page: PositionedPage): boolean;
  /** Called when a reader begins to send frames, and when it no longer does. */
  onConnected(): void;
  onLost(): void;
}

/** The connection to a reader. */
interface Connection {
  readonly reader: Member;
  readonly req: ClientRequest;
  readonly timer: NodeJS.Timeout;
  readonly decoder: FeedFrameDecoder;
  /** Counts the part of a frame that has arrived. */
  readonly holding: Holding;
}

/**
 * Receives the feeds from one of the readers of this data centre. A reader that fails or is silent
 * is replaced by the next one; while there is none, `onLost` has the gateway read at the store.
 */
export class FeedSubscription {
  private source: FeedSource = { kind: 'store' };

  private connection: Connection | undefined;

  /** Whether a frame has arrived on the connection. */
  private hasFrame = false;

  /** Number of chunks that have arrived, on all connections. */
  private chunkCount = 0;

  /** Readers that failed lately. */
  private readonly failed = new Set<Incarnation>();

  /** Runs from the loss of a reader until the next one sends a frame, or until `onLost`. */
  private takeoverTimer: NodeJS.Timeout | undefined;

  private closed = false;

  constructor(
    private readonly telemetry: Telemetry,
    private readonly memory: HostMemory,
    private readonly subscriber: FeedSubscriber,
  ) {}

  /** Whether pages come from a reader. */
  get isConnected(): boolean {
    return this.connection !== undefined && this.hasFrame;
  }

  /** The reader that pages come from, if any. */
  get reader(): Incarnation | undefined {
    return this.isConnected ? this.connection?.reader.incarnation : undefined;
  }

  /**
   * Sets where to read. A connection to one of the readers is kept, and one to a gateway that goes on
   * to send: it ends the stream when it is no reader any more. Load pattern: a burst on the readers'
   * links loses their datagrams, so that all others suspect them for a moment, and would all move
   * to the next ones in rank.
   */
  setSource(source: FeedSource): void {
    this.source = source;
    const current = this.connection?.reader.incarnation;
    const isKept =
      source.kind === 'readers' &&
      (this.hasFrame || source.readers.some(({ incarnation }) => incarnation === current));
    if (this.connection && !isKept) this.end(this.connection, 'not a reader any more');
    else this.connect();
  }

  close(): void {
    this.closed = true;
    if (this.connection) this.end(this.connection, 'closed');
  }

  private connect(): void {
    if (this.closed || this.connection || this.source.kind === 'store') return;
    const reader = this.source.readers.find(({ incarnation }) => !this.failed.has(incarnation));
    if (!reader) return;
    const [config, upstreams] = this.subscriber.positions();
    const req = http.get({
      host: reader.address,
      port: reader.peerPort,
      path: `${FEED_STREAM_PATH}?config=${config}&upstreams=${upstreams}&${DEFLATE_PARAM}=1`,
      agent: false,
    });
    const connection: Connection = {
      reader,
      req,
      timer: setTimeout(
        guarded('feed-subscription timer', () => this.onSilence(connection)),
        SILENCE_TIMEOUT_MS,
      ),
      decoder: new FeedFrameDecoder(),
      holding: this.memory.open({ kind: 'gateway', id: reader.address }, () =>
        this.fail(connection, 'memory is short'),
      ),
    };
    this.connection = connection;
    this.hasFrame = false;
    const onData = (chunk: Buffer): void => this.onData(connection, chunk);
    const onError = (err: Error): void => this.fail(connection, err.message);
    const end = (): void => this.fail(connection, 'broken');
    const onResponse = (res: IncomingMessage): void => {
      if (res.statusCode !== 200) {
        this.fail(connection, `status ${res.statusCode}`);
        return;
      }
      const onEnd = (): void => this.fail(connection, 'ended');
      res.on('data', guarded('feed-subscription data', onData, end));
      res.on('error', guarded('feed-subscription error', onError));
      res.on('end', guarded('feed-subscription end', onEnd));
    };
    req.on('response', guarded('feed-subscription response', onResponse, end));
    req.on('error', guarded('feed-subscription error', onError));
  }

  /** Takes a reader for failed, unless it has sent what is only read now. */
  private onSilence(connection: Connection): void {
    const count = this.chunkCount;
    // Timers run before the sockets are polled, and immediates after it.
    setImmediate(
      guarded('feed-subscription timer', () => {
        if (this.chunkCount === count) this.fail(connection, SILENT);
      }),
    );
  }

  private onData(connection: Connection, chunk: Buffer): void {
    if (this.connection !== connection) return;
    this.chunkCount += 1;
    connection.timer.refresh();
    const frames = connection.decoder.push(chunk);
    if (!frames?.every((frame) => this.onFrame(frame))) {
      this.fail(connection, frames ? 'page out of order' : 'malformed frame');
      return;
    }
    if (!connection.holding.resize(connection.decoder.memoryBytes)) return;
    if (this.hasFrame || frames.length === 0) return;
    this.hasFrame = true;
    this.telemetry.event('feed-reader-connected', { reader: connection.reader.address });
    if (this.takeoverTimer) this.endTakeover();
    else this.subscriber.onConnected();
  }

  private onFrame(frame: FeedFrame): boolean {
    switch (frame.kind) {
      case 'beat':
        return true;
      case 'page':
        return this.subscriber.onPage(frame.feed, frame.page);
    }
  }

  private fail(connection: Connection, reason: string): void {
    if (this.connection !== connection) return;
    const { incarnation } = connection.reader;
    this.failed.add(incarnation);
    setTimeout(
      guarded('feed-subscription timer', () => {
        this.failed.delete(incarnation);
        this.connect();
      }),
      RETRY_DELAY_MS,
    ).unref();
    this.end(connection, reason);
  }

  /** Ends a connection, and connects to the next reader, if any. */
  private end(connection: Connection, reason: string): void {
    clearTimeout(connection.timer);
    this.connection = undefined;
    connection.req.destroy();
    connection.holding.close();
    if (this.hasFrame) {
      const { address } = connection.reader;
      this.telemetry.event('feed-reader-lost', { reader: address, reason });
      this.takeoverTimer = setTimeout(
        guarded('feed-subscription timer', () => this.giveUpTakeover()),
        TAKEOVER_TIMEOUT_MS,
      );
    }
    this.hasFrame = false;
    this.connect();
    // After a silence, pages may have been missed for too long to wait for another reader.
    if (reason === SILENT || !this.connection) this.giveUpTakeover();
  }

  private giveUpTakeover(): void {
    if (!this.takeoverTimer) return;
    this.endTakeover();
    this.subscriber.onLost();
  }

  private endTakeover(): void {
    clearTimeout(this.takeoverTimer);
    this.takeoverTimer = undefined;
  }
}
