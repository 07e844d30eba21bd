import { detached } from '../../adapters/guarded';
import {
  Inquiry,
  KeyProofs,
  peersToAsk,
  proofOfRead,
  proofOfReply,
  proofWaitOf,
  relianceOf,
  SuspensionClock,
  type InquiryStep,
  type KeyProof,
  type ProofReply,
  type ProofState,
} from '../../core/freshness';
import type { FeedPosition, Instant, Member, Millis } from '../../model';

import type { GatewayContext } from '../context';
import { DATAGRAM_VERSION } from './datagram';
import type { AppliedRead } from '../feeds/follower-options';
import { decodeFreshnessMessage, drawNonce, type FreshnessMessage } from './freshness-message';
import type { DatagramLink } from './peer-link';
import { systemTimers, type ExchangeTimers, type FreshnessPorts } from './freshness-ports';
import type { KeyFreshness, KeyFreshnessResult } from '../arriving/workspace-access';

/** Interval in milliseconds at which a round in progress is looked at. */
const ROUND_TICK_MS: Millis = 10;
/**
 * Interval in milliseconds at which the clocks are read. A wall clock that is set back between two
 * readings may hide as long a suspension between the same two.
 */
const CLOCK_TICK_MS: Millis = 500;
/** Bounds in milliseconds of the Retry-After without a proof; drawn at random, so that callers spread. */
const MIN_RETRY_AFTER_MS: Millis = 200;
const MAX_RETRY_AFTER_MS: Millis = 600;

const FRESH: Promise<KeyFreshnessResult> = Promise.resolve({ kind: 'fresh' });
const DONE = Promise.resolve();

/**
 * Knows until when this gateway's keys were the store's. Proofs come from its own reads at the
 * store, and from peers, which it asks while requests with keys arrive.
 */
export class FreshnessExchange implements KeyFreshness {
  private readonly clock = new SuspensionClock();

  private readonly proofs = new KeyProofs();

  private readonly inquiry = new Inquiry();

  /** Ends the wait of the requests for the round in progress. */
  private waiting: ((state: ProofState | undefined) => void)[] = [];

  /** Whether this gateway has logged that it has no proof. */
  private isStaleLogged = false;

  private closed = false;

  constructor(
    private readonly context: GatewayContext,
    private readonly link: Pick<DatagramLink, 'send'>,
    private readonly ports: FreshnessPorts,
    private readonly timers: ExchangeTimers = systemTimers,
  ) {
    this.watchClocks();
  }

  confirm(): Promise<KeyFreshnessResult> {
    const revocationTime = this.ports.revocationTime();
    if (revocationTime === undefined) return FRESH;
    const state = this.stateFor(revocationTime);
    const decision = this.inquiry.decide(state);
    switch (decision.kind) {
      case 'serve':
        if (decision.refresh) this.ask(decision.refresh, 'refresh');
        return FRESH;
      case 'refuse':
        if (decision.beginRound) this.beginRound(state, 'background');
        return Promise.resolve(this.stale(state));
      case 'wait': {
        const ended = this.roundEnd();
        if (decision.beginRound) this.beginRound(state, 'request');
        return ended.then((reached) => this.resultOf(reached));
      }
    }
  }

  refresh(): Promise<void> {
    const revocationTime = this.ports.revocationTime();
    if (revocationTime === undefined) return DONE;
    const state = this.stateFor(revocationTime);
    const mustSeek = this.inquiry.shouldSeekNewKey(state);
    if (!mustSeek && !this.inquiry.isRoundOpen) return DONE;
    const ended = this.roundEnd().then(() => {});
    if (mustSeek) this.beginRound(state, 'unknown-key');
    return ended;
  }

  /**
   * Whether this gateway refuses requests with keys. Without a proof it asks for one, so that the
   * next call knows.
   */
  isRefusing(): boolean {
    const revocationTime = this.ports.revocationTime();
    if (revocationTime === undefined) return false;
    const state = this.stateFor(revocationTime);
    if (state.age < relianceOf(revocationTime)) return false;
    const decision = this.inquiry.decide(state);
    if (decision.kind !== 'serve' && decision.beginRound) this.beginRound(state, 'background');
    return this.inquiry.hasFailed;
  }

  /** Returns the longest wait of reads that prove the keys; undefined if no proof is needed. */
  maxProofWait(): Millis | undefined {
    const revocationTime = this.ports.revocationTime();
    return revocationTime === undefined ? undefined : proofWaitOf(revocationTime);
  }

  /** Takes in that a read of the configuration at the store starts. */
  onReadStart(wait: Millis): (read: AppliedRead) => void {
    const startedAt = this.now();
    return ({ position, isEmpty }) => {
      const endedAt = this.now();
      // Without a revocation time, reads count from their start.
      const bound = this.ports.revocationTime() ?? 0;
      this.proofs.recordApplied(position);
      const read = { startedAt, endedAt, wait, position, isEmpty };
      this.inquiry.recordStoreProof();
      this.take(proofOfRead(read, bound), 'store');
    };
  }

  /** Takes in up to where the configuration has been applied. */
  onApplied(position: FeedPosition): void {
    if (this.proofs.recordApplied(position)) this.onProof();
  }

  /** Takes in a message of topic `freshness`. */
  onMessage(body: unknown): void {
    if (this.ports.revocationTime() === undefined || this.closed) return;
    const message = decodeFreshnessMessage(body);
    if (!message) {
      this.context.telemetry.count('datagrams_refused', { reason: 'freshness' });
      return;
    }
    switch (message.kind) {
      case 'ask': {
        const proof = this.proofs.latest;
        const age = proof ? this.proofs.age(this.now()) : undefined;
        const reply: FreshnessMessage = {
          kind: 'proof',
          nonce: message.nonce,
          position: proof?.position ?? 0,
          ...(age === undefined ? {} : { age: Math.ceil(age) }),
        };
        this.link.send(message.from, 'freshness', reply);
        return;
      }
      case 'proof':
        this.onReply(message.nonce, message);
    }
  }

  close(): void {
    this.closed = true;
    this.settle();
  }

  private onReply(nonce: number, reply: ProofReply): void {
    const { telemetry } = this.context;
    const askedAt = this.inquiry.recordReply(nonce);
    if (askedAt === undefined) {
      telemetry.count('key_proof_replies', { result: 'unexpected' });
      return;
    }
    const proof = proofOfReply(reply, askedAt);
    const hasEnough = proof && this.now() - proof.at < this.reliance;
    telemetry.count('key_proof_replies', { result: hasEnough ? 'proof' : 'no-proof' });
    if (proof) this.take(proof, 'peer');
  }

  private take(proof: KeyProof, source: 'store' | 'peer'): void {
    this.context.telemetry.count('key_proofs', { source });
    if (this.proofs.record(proof)) this.onProof();
  }

  /** Ends the round in progress if there is a proof now that may be relied on. */
  private onProof(): void {
    const revocationTime = this.ports.revocationTime();
    const age = this.proofs.age(this.now());
    if (revocationTime === undefined || age >= relianceOf(revocationTime)) return;
    if (this.isStaleLogged) this.context.telemetry.event('keys-fresh', { ageMs: Math.round(age) });
    this.isStaleLogged = false;
    if (!this.inquiry.isRoundOpen) return;
    this.inquiry.endRound();
    this.settle();
  }

  private beginRound(state: ProofState, purpose: string): void {
    this.inquiry.expire(state.at, state.revocationTime);
    this.inquiry.beginRound(state);
    this.context.telemetry.count('key_proof_rounds', { purpose });
    this.advanceRound();
  }

  private advanceRound(): void {
    const revocationTime = this.ports.revocationTime();
    if (this.closed || revocationTime === undefined) {
      this.inquiry.endRound();
      this.settle();
      return;
    }
    const step = this.inquiry.nextStep(this.stateFor(revocationTime));
    if (step) this.ask(step, 'round');
    if (this.inquiry.endRoundIfDue(this.stateFor(revocationTime))) {
      this.settle();
      return;
    }
    // After a time in which this process did not run, the replies are handled before the round ends.
    this.timers.after(ROUND_TICK_MS, () =>
      this.timers.afterPendingInput(() => {
        if (this.inquiry.isRoundOpen) this.advanceRound();
      }),
    );
  }

  private ask({ peers, firstRank, readStore }: InquiryStep, purpose: string): void {
    if (readStore) {
      this.context.telemetry.count('key_proof_store_reads', { purpose });
      detached('freshness-exchange', this.ports.readStore());
    }
    if (peers === 0) return;
    const { random, settings } = this.context;
    const at = this.now();
    const ranked = peersToAsk({
      self: this.ports.self,
      dataCentre: settings.dataCentre,
      members: this.ports.members(),
      source: this.ports.source(),
      isSilent: (peer) => this.inquiry.isSilent(peer, at),
      random,
    });
    const count = Math.min(peers, ranked.length);
    for (let i = 0; i < count; i++) {
      const peer = ranked[(firstRank + i) % ranked.length];
      if (peer) this.askPeer(peer, at);
    }
  }

  private askPeer(peer: Member, at: Instant): void {
    const { random, settings, telemetry } = this.context;
    const { address, port: peerPort } = settings.listen.peers;
    const nonce = drawNonce(random);
    this.inquiry.recordQuestion(nonce, peer.incarnation, at);
    telemetry.count('key_proof_questions');
    const from = { address, peerPort, datagramVersion: DATAGRAM_VERSION };
    const question: FreshnessMessage = { kind: 'ask', nonce, from };
    this.link.send(peer, 'freshness', question);
  }

  /** Resolves when the round in progress has ended, with the state then. */
  private roundEnd(): Promise<ProofState | undefined> {
    return new Promise((resolve) => {
      this.waiting.push(resolve);
    });
  }

  private settle(): void {
    const { waiting } = this;
    if (waiting.length === 0) return;
    this.waiting = [];
    const revocationTime = this.ports.revocationTime();
    const state = revocationTime === undefined ? undefined : this.stateFor(revocationTime);
    waiting.forEach((resolve) => resolve(state));
  }

  /** Returns the result for requests in a state; undefined if no proof is needed any more. */
  private resultOf(state: ProofState | undefined): KeyFreshnessResult {
    if (!state || state.age < relianceOf(state.revocationTime)) return { kind: 'fresh' };
    return this.stale(state);
  }

  private stale({ age }: ProofState): KeyFreshnessResult {
    const { telemetry, random } = this.context;
    if (!this.isStaleLogged) {
      telemetry.event('keys-stale', {
        ageMs: Number.isFinite(age) ? Math.round(age) : -1,
        members: this.ports.members().length,
        readsAtStore: this.ports.readsAtStore(),
      });
    }
    this.isStaleLogged = true;
    telemetry.count('keys_stale_refusals');
    const retryAfter = MIN_RETRY_AFTER_MS + random() * (MAX_RETRY_AFTER_MS - MIN_RETRY_AFTER_MS);
    return { kind: 'stale', age, retryAfter };
  }

  private get reliance(): Millis {
    return relianceOf(this.ports.revocationTime() ?? 0);
  }

  private stateFor(revocationTime: Millis): ProofState {
    const at = this.now();
    const readsAtStore = this.ports.readsAtStore();
    return { at, age: this.proofs.age(at), revocationTime, readsAtStore };
  }

  private now(): Instant {
    const { clock } = this.context;
    return this.clock.read(clock.now(), clock.wall());
  }

  private watchClocks(): void {
    if (this.closed) return;
    this.now();
    this.timers.after(CLOCK_TICK_MS, () => this.watchClocks());
  }
}
