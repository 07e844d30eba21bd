/** Probes of upstreams: from this node, and from a node in another data centre. */
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

/** Timeout in milliseconds of a probe made for another node. */
const RELAYED_PROBE_TIMEOUT_MS: Millis = 350;

/** Holds the parts of the node that probes use. */
export interface UpstreamProbesContext {
  readonly self: NodeIdentity;
  readonly directory: Directory;
  readonly peers: PeerLink;
  readonly upstreams: UpstreamClient;
  readonly clock: Clock;
  readonly telemetry: Telemetry;
  /** Returns a random number of at least 0 and less than 1. */
  random(): number;
}

/** Probes upstreams from this node, and asks other nodes to probe them. */
export class UpstreamProbes {
  /** Functions that settle the probes requested from other nodes, by nonce. */
  private readonly pending = new Map<number, (result: AttemptResult | undefined) => void>();

  private lastNonce = 0;

  constructor(private readonly context: UpstreamProbesContext) {}

  /** Probes an upstream from this node. Never rejects. */
  probeFromSelf(upstream: Upstream, deadline: Instant): Promise<AttemptResult> {
    return this.context.upstreams.probe(upstream, deadline);
  }

  /**
   * Has another node probe an upstream: one in another data centre if there is one. Resolves to
   * undefined when no node answers by `deadline`; this says nothing about the upstream.
   */
  probeFromPeer(upstream: UpstreamId, deadline: Instant): Promise<AttemptResult | undefined> {
    const helper = this.pickHelper();
    if (!helper) return Promise.resolve(undefined);
    this.lastNonce += 1;
    const nonce = this.lastNonce;
    return new Promise((resolve) => {
      const timeLeft = deadline - this.context.clock.now();
      const timer = setTimeout(() => this.settle(nonce, undefined), timeLeft);
      this.pending.set(nonce, (result) => {
        clearTimeout(timer);
        resolve(result);
      });
      this.send(helper, { kind: 'request', nonce, upstream });
    });
  }

  /** Handles a message of topic `probe`; counts malformed ones. */
  receive(from: NodeIdentity, body: unknown): void {
    decodeProbeMessage(body).caseOf({
      Left: (err) => this.context.telemetry.count('probe-message-refused', { reason: err.kind }),
      Right: (message) => this.handle(from, message),
    });
  }

  private handle(from: NodeIdentity, message: ProbeMessage): void {
    switch (message.kind) {
      case 'request':
        void this.answerRequest(from, message.nonce, message.upstream);
        return;
      case 'result':
        this.settle(message.nonce, message.result);
    }
  }

  /** Probes an upstream for another node and sends it the result. */
  private async answerRequest(from: NodeIdentity, nonce: number, id: UpstreamId): Promise<void> {
    const upstream = this.context.directory.upstream(id);
    if (!upstream) return;
    const result = await this.probeFromSelf(
      upstream,
      this.context.clock.now() + RELAYED_PROBE_TIMEOUT_MS,
    );
    this.send(from, { kind: 'result', nonce, result });
  }

  private settle(nonce: number, result: AttemptResult | undefined): void {
    this.pending.get(nonce)?.(result);
    this.pending.delete(nonce);
  }

  private send(to: NodeIdentity, body: ProbeMessage): void {
    this.context.peers.send(to, { topic: 'probe', body });
  }

  /** Returns a random live node, from another data centre if there is one. */
  private pickHelper(): Member | undefined {
    const { self, directory, random } = this.context;
    const others = directory.members.filter(
      ({ state, incarnation }) => state === 'alive' && incarnation !== self.incarnation,
    );
    const elsewhere = others.filter(({ dataCentre }) => dataCentre !== self.dataCentre);
    const helpers = elsewhere.length > 0 ? elsewhere : others;
    return helpers[Math.floor(random() * helpers.length)];
  }
}
