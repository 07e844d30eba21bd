/** Probes of upstreams: from here, and from a node in another data centre. */
import { decodeProbeMessage, type Directory, type ProbeMessage } from '../core';
import type {
  AttemptResult,
  Instant,
  Member,
  Millis,
  NodeIdentity,
  Upstream,
  UpstreamId,
} from '../model';
import type { Clock, PeerLink, Telemetry, UpstreamClient } from '../ports';

/** How long a probe made for another node may take. */
const FOR_OTHERS: Millis = 350;

/** What probes work with. */
export interface UpstreamProbesContext {
  readonly self: NodeIdentity;
  readonly directory: Directory;
  readonly peers: PeerLink;
  readonly upstreams: UpstreamClient;
  readonly clock: Clock;
  readonly telemetry: Telemetry;
  /** A number from 0 up to 1. */
  random(): number;
}

/** Makes probes, and has other nodes make them. */
export class UpstreamProbes {
  private readonly asked = new Map<number, (result: AttemptResult | undefined) => void>();

  private nonces = 0;

  constructor(private readonly context: UpstreamProbesContext) {}

  /** Probes from this node. Never rejects. */
  fromHere(upstream: Upstream, deadline: Instant): Promise<AttemptResult> {
    return this.context.upstreams.probe(upstream, deadline);
  }

  /**
   * Probes from a node in another data centre, or from another node where there is only one.
   * None when no node answered: then nothing is known of the upstream.
   */
  fromElsewhere(upstream: UpstreamId, deadline: Instant): Promise<AttemptResult | undefined> {
    const helper = this.drawHelper();
    if (!helper) return Promise.resolve(undefined);
    this.nonces += 1;
    const nonce = this.nonces;
    return new Promise((resolve) => {
      const timeLeft = deadline - this.context.clock.now();
      const timer = setTimeout(() => this.settle(nonce, undefined), timeLeft);
      this.asked.set(nonce, (result) => {
        clearTimeout(timer);
        resolve(result);
      });
      this.send(helper, { kind: 'request', nonce, upstream });
    });
  }

  /** Takes a message of topic `probe`. */
  receive(from: NodeIdentity, body: unknown): void {
    decodeProbeMessage(body).caseOf({
      Left: (err) => this.context.telemetry.count('probe-message-refused', { reason: err.kind }),
      Right: (message) => this.take(from, message),
    });
  }

  private take(from: NodeIdentity, message: ProbeMessage): void {
    switch (message.kind) {
      case 'request':
        void this.answer(from, message.nonce, message.upstream);
        return;
      case 'result':
        this.settle(message.nonce, message.result);
    }
  }

  private async answer(from: NodeIdentity, nonce: number, id: UpstreamId): Promise<void> {
    const upstream = this.context.directory.upstream(id);
    if (!upstream) return;
    const result = await this.fromHere(upstream, this.context.clock.now() + FOR_OTHERS);
    this.send(from, { kind: 'result', nonce, result });
  }

  private settle(nonce: number, result: AttemptResult | undefined): void {
    this.asked.get(nonce)?.(result);
    this.asked.delete(nonce);
  }

  private send(to: NodeIdentity, body: ProbeMessage): void {
    this.context.peers.send(to, { topic: 'probe', body });
  }

  private drawHelper(): Member | undefined {
    const { self, directory, random } = this.context;
    const others = directory.members.filter(
      ({ state, incarnation }) => state === 'alive' && incarnation !== self.incarnation,
    );
    const elsewhere = others.filter(({ dataCentre }) => dataCentre !== self.dataCentre);
    const helpers = elsewhere.length > 0 ? elsewhere : others;
    return helpers[Math.floor(random() * helpers.length)];
  }
}
