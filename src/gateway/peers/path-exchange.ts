import { guarded } from '../../adapters/guarded';
import {
  isObject,
  isString,
  type Incarnation,
  type Instant,
  type Member,
  type Millis,
} from '../../model';

import type { GatewayContext } from '../context';
import type { DatagramLink } from './peer-link';

/** Interval in milliseconds at which a gateway whose path is cut repeats it. */
const REPEAT_INTERVAL_MS: Millis = 1000;
/** Time in milliseconds for which a peer's word that its path is cut holds. */
const VALIDITY_MS: Millis = 3 * REPEAT_INTERVAL_MS;

/** Body of a datagram of topic `paths`. */
interface PathMessage {
  readonly incarnation: Incarnation;
  /** Whether the sender has no path to the upstreams. */
  readonly cut: boolean;
}

const isPathMessage = (body: unknown): body is PathMessage =>
  isObject(body) && isString(body.incarnation) && typeof body.cut === 'boolean';

/** Tells the other gateways whether this one's path to the upstreams is cut, and knows theirs. */
export class PathExchange {
  /** Gateways whose path is cut, with the time until which their word holds. */
  private readonly cutUntil = new Map<Incarnation, Instant>();

  private peers: readonly Member[] = [];

  private isOwnCut = false;

  private repeatTimer: NodeJS.Timeout | undefined;

  private expiryTimer: NodeJS.Timeout | undefined;

  constructor(
    private readonly context: GatewayContext,
    private readonly self: Incarnation,
    private readonly link: Pick<DatagramLink, 'send'>,
    /** Called when the path of a gateway, this one included, is cut or good again. */
    private readonly onChange: () => void,
  ) {}

  /** Whether a gateway has no path to the upstreams. */
  isCut(incarnation: Incarnation): boolean {
    return incarnation === this.self ? this.isOwnCut : this.cutUntil.has(incarnation);
  }

  onMembers(members: readonly Member[]): void {
    this.peers = members.filter(
      ({ incarnation, state }) => incarnation !== this.self && state !== 'dead',
    );
  }

  /** Takes in whether this gateway's own path is cut. */
  setOwn(isCut: boolean): void {
    this.isOwnCut = isCut;
    clearInterval(this.repeatTimer);
    if (isCut)
      this.repeatTimer = setInterval(
        guarded('path-exchange timer', () => this.tell()),
        REPEAT_INTERVAL_MS,
      );
    this.tell();
    this.onChange();
  }

  /** Takes in a message of topic `paths`. */
  onMessage(body: unknown): void {
    const { telemetry, clock } = this.context;
    if (!isPathMessage(body)) {
      telemetry.count('datagrams_refused', { reason: 'paths' });
      return;
    }
    const { incarnation, cut } = body;
    const isKnown = this.peers.some((peer) => peer.incarnation === incarnation);
    if (!isKnown) return;
    const wasCut = this.cutUntil.has(incarnation);
    if (cut) this.cutUntil.set(incarnation, clock.now() + VALIDITY_MS);
    else this.cutUntil.delete(incarnation);
    if (wasCut === cut) return;
    telemetry.event(cut ? 'peer-path-cut' : 'peer-path-restored', { peer: incarnation });
    this.expiryTimer ??= setInterval(
      guarded('path-exchange timer', () => this.expire()),
      REPEAT_INTERVAL_MS,
    );
    this.onChange();
  }

  close(): void {
    clearInterval(this.repeatTimer);
    clearInterval(this.expiryTimer);
  }

  private tell(): void {
    const message: PathMessage = { incarnation: this.self, cut: this.isOwnCut };
    this.peers.forEach((peer) => this.link.send(peer, 'paths', message));
  }

  /** Drops what peers have not repeated in time. */
  private expire(): void {
    const now = this.context.clock.now();
    const before = this.cutUntil.size;
    this.cutUntil.forEach((until, incarnation) => {
      if (now >= until) this.cutUntil.delete(incarnation);
    });
    if (this.cutUntil.size === 0) {
      clearInterval(this.expiryTimer);
      this.expiryTimer = undefined;
    }
    if (this.cutUntil.size < before) this.onChange();
  }
}
