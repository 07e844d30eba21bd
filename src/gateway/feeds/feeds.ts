import type { IncomingMessage, Server, ServerResponse } from 'node:http';

import { detached } from '../../adapters/guarded';
import { feedSourceOf } from '../../core/gateway';
import type {
  Incarnation,
  Member,
  Millis,
  FeedPage,
  KeyedRecord,
  PositionedPage,
  FeedPositions,
} from '../../model';
import type { Feed } from '../../ports';

import type { GatewayContext } from '../context';
import type { ServerResources } from '../arriving/request-server';
import type { FeedName } from './feed-frames';
import { FeedRelay } from './feed-relay';
import { FeedSubscription } from './feed-subscription';
import { Follower } from './follower';
import type { AppliedRead, FollowerOptions } from './follower-options';
import type { ReadTiming } from './read-timing';
import { StoreContact } from './store-contact';

/**
 * Longest time that a read waits at the store for new items, as a ratio of the stability window. A
 * read whose connection has gone silent is noticed only after its wait; in the rest of the window
 * it is given up and repeated, so that the list is current when the bounds are binding again.
 */
const LONG_POLL_RATIO = 0.5;
/**
 * Pause after a read with new items, as a ratio of the time within which departures of upstreams
 * and new configurations must take effect; the rest is for the read itself and for requests in
 * flight.
 */
const BATCH_PAUSE_RATIO = 0.4;
/**
 * The same after the first read, in which time a reader is usually found that passes the next pages
 * on.
 */
const FIRST_BATCH_PAUSE_RATIO = 0.6;
/**
 * The same while other gateways depend on the reads. A gateway that reads from another one is
 * behind its peers by this pause at most.
 */
const READER_BATCH_PAUSE_RATIO = 0.15;
/**
 * Time since the last answer of the store after which a reader counts as out of contact, as a ratio
 * of the time within which changes must take effect; in the rest the others read for themselves.
 * Load pattern: the store stops answering the readers alone, whose reads wait for seconds.
 */
const CONTACT_RATIO = 0.6;
/** The same after which a reader reads again to prove its contact. */
const CONTACT_PROOF_RATIO = 0.36;
/**
 * Time in milliseconds in which the waiting read should bring what a peer has already read; after
 * it the read is taken to hang.
 */
const PEER_GRACE_MS: Millis = 300;

/** Part of the longest wait that is drawn at random, so that the reads of many gateways spread. */
const WAIT_JITTER_RATIO = 0.2;

/** Receivers of the pages, and the sources at the store. */
export interface FeedsService {
  readonly configFeed: Feed<KeyedRecord>;
  readonly upstreamFeed: Feed<KeyedRecord>;
  /** What the servers of this gateway share. */
  readonly resources: ServerResources;
  onConfig(page: FeedPage<KeyedRecord>): void;
  onUpstreams(page: FeedPage<KeyedRecord>, timing: ReadTiming): void;
  /**
   * Returns the longest wait of reads of the configuration, as they prove the keys; undefined if no
   * proof is needed.
   */
  maxProofWait(): Millis | undefined;
  /** Called when a read of the configuration starts; the result once its page is applied. */
  onConfigReadStart(wait: Millis): (read: AppliedRead) => void;
  /** Handles a request of a peer that is not for the feeds; returns whether it did. */
  onPeerRequest(req: IncomingMessage, res: ServerResponse): boolean;
}

/**
 * Follows the store's feeds of the configuration and of the upstreams. A few gateways of each data
 * centre read at the store and pass the pages on to the others, which read for themselves as soon
 * as no page or sign of contact arrives, or a peer is ahead of them.
 */
export class Feeds {
  private readonly relay: FeedRelay;

  private readonly subscription: FeedSubscription;

  private readonly followers: Readonly<Record<FeedName, Follower<KeyedRecord>>>;

  /** Whether other members are known. */
  private hasMembers = false;

  /** The read in progress that proves contact with the store. */
  private proof: Promise<void> | undefined;

  /** Whether this gateway reads at the store by its place among the members. */
  private readsAtStore = true;

  constructor(
    private readonly context: GatewayContext,
    service: FeedsService,
  ) {
    const { telemetry } = context;
    this.relay = new FeedRelay(telemetry, service.resources, {
      isInContact: () => this.isInContact,
      proveContact: () => this.proveContact(),
      onOtherRequest: (req, res) => service.onPeerRequest(req, res),
    });
    const contact = new StoreContact();
    const follow = (
      name: FeedName,
      feed: Feed<KeyedRecord>,
      onPage: (page: PositionedPage, timing: ReadTiming) => void,
      options: Partial<FollowerOptions<KeyedRecord>> = {},
    ): Follower<KeyedRecord> =>
      new Follower({
        name,
        feed,
        clock: context.clock,
        telemetry,
        contact,
        isQuiet: name === 'config',
        longPoll: () => this.longPoll(),
        batchPause: () => this.batchPause(),
        peerGrace: () => this.peerGrace(),
        onEra: (era) =>
          Object.values(this.followers).forEach((follower) => follower.onEraOfOtherFeed(era)),
        onPage: (page, timing) => {
          this.relay.publish(name, page);
          onPage(page, timing);
        },
        ...options,
      });
    this.followers = {
      config: follow('config', service.configFeed, (page) => service.onConfig(page), {
        longPoll: () => this.longPoll(service.maxProofWait()),
        isUrgent: () => this.readsAtStore && service.maxProofWait() !== undefined,
        onReadStart: (wait) => service.onConfigReadStart(wait),
      }),
      upstreams: follow(
        'upstreams',
        service.upstreamFeed,
        (page, timing) => service.onUpstreams(page, timing),
        // The read of the configuration may hang as those of this feed did.
        {
          onRegained: () => {
            detached('feeds', this.readConfigNow());
          },
        },
      ),
    };
    this.subscription = new FeedSubscription(telemetry, service.resources.memory, {
      positions: () => this.positions,
      onPage: (feed, page) => this.followers[feed].onRelayedPage(page),
      onConnected: () => this.setRelayed(true),
      onLost: () => this.setRelayed(false),
    });
  }

  /** The server from which other gateways read the feeds. */
  get server(): Server {
    return this.relay.server;
  }

  /** How far this gateway has read the feeds. */
  get positions(): FeedPositions {
    const { config, upstreams } = this.followers;
    return [config.readPosition, upstreams.readPosition];
  }

  /** Returns the milliseconds since the last page of the upstreams; -1 before the first. */
  upstreamsAge(): Millis {
    return this.followers.upstreams.age(this.context.clock.now());
  }

  /** Whether another gateway sends the feeds to this one. */
  get isRelayed(): boolean {
    return this.subscription.isConnected;
  }

  /** The gateway that sends the feeds to this one, if any. */
  get source(): Incarnation | undefined {
    return this.subscription.reader;
  }

  /** Reads the configuration at the store at once. */
  async readConfigNow(): Promise<void> {
    await this.followers.config.readNow();
  }

  start(): void {
    detached('feeds', this.followers.config.follow());
    detached('feeds', this.followers.upstreams.follow());
  }

  /** Takes in how far a peer has read the feeds. */
  onPeerPositions([config, upstreams]: FeedPositions): void {
    this.followers.config.onPeerPosition(config);
    this.followers.upstreams.onPeerPosition(upstreams);
  }

  /** Determines again where to read, after a change of the members. */
  onMembers(self: Incarnation, members: readonly Member[]): void {
    const source = feedSourceOf(self, this.context.settings.dataCentre, members);
    this.hasMembers = members.length > 1;
    this.readsAtStore = source.kind === 'store';
    this.subscription.setSource(source);
    this.relay.review();
  }

  close(): void {
    this.subscription.close();
    this.relay.close();
    this.followers.config.close();
    this.followers.upstreams.close();
  }

  /** Whether this gateway reads both feeds at the store, and the store answers. */
  private get isInContact(): boolean {
    const { config, upstreams } = this.followers;
    const isReading = this.readsAtStore && !this.subscription.isConnected;
    const isRecent = this.contactAge <= CONTACT_RATIO * this.bound;
    return isReading && isRecent && config.isInContact && upstreams.isInContact;
  }

  /** Time in milliseconds since the last answer of the store. */
  private get contactAge(): Millis {
    const now = this.context.clock.now();
    const { config, upstreams } = this.followers;
    return Math.min(config.age(now), upstreams.age(now));
  }

  /** Reads at the store if its last answer is not recent. */
  private async proveContact(): Promise<void> {
    if (this.contactAge < CONTACT_PROOF_RATIO * this.bound) return;
    this.proof ??= this.followers.upstreams.readNow().finally(() => {
      this.proof = undefined;
    });
    await this.proof;
  }

  private setRelayed(isRelayed: boolean): void {
    this.followers.config.setRelayed(isRelayed);
    this.followers.upstreams.setRelayed(isRelayed);
  }

  /** Returns the wait of a read, `longest` at most. */
  private longPoll(longest: Millis = Number.POSITIVE_INFINITY): Millis {
    const { stabilityWindow } = this.context.settings.bounds;
    const wait = Math.min(longest, LONG_POLL_RATIO * stabilityWindow);
    return wait * (1 - WAIT_JITTER_RATIO * this.context.random());
  }

  private batchPause(): Millis {
    if (this.relay.subscriberCount > 0) return READER_BATCH_PAUSE_RATIO * this.bound;
    return (this.hasMembers ? BATCH_PAUSE_RATIO : FIRST_BATCH_PAUSE_RATIO) * this.bound;
  }

  private peerGrace(): Millis {
    if (!this.subscription.isConnected) return PEER_GRACE_MS;
    return PEER_GRACE_MS + READER_BATCH_PAUSE_RATIO * this.bound;
  }

  /** The shorter of the times within which changes of the feeds must take effect. */
  private get bound(): Millis {
    const { drainTime, configApplyTime } = this.context.settings.bounds;
    return Math.min(drainTime, configApplyTime);
  }
}
