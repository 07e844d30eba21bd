/**
 * Implements the dialing end of a peer connection: sends messages, and calls for the peer to serve.
 */
import type { Readable } from 'node:stream';

import { WebSocket } from 'ws';

import {
  notRunOutcome,
  unknownOutcome,
  type Call,
  type NotRunReason,
  type Instant,
  type Millis,
  type Refusal,
} from '../../model';
import type { CallRole, PeerMessage, Reply, ShardLoad } from '../../ports';

import { BodyReceiver, BodySender } from './body-transfer';
import { decodeFrame, encodeFrame, MAX_FRAME_BYTES, PEER_VERSION, type Frame } from './frame';
import type { PeerContext } from './incoming';

/** Time in milliseconds in which a peer must accept a connection and answer the `hello`. */
const CONNECT_TIMEOUT_MS = 500;

/** Time in milliseconds in which a peer must acknowledge a call that another node could serve. */
const IDEMPOTENT_ACK_TIMEOUT_MS = 250;

/** Time in milliseconds in which a peer must acknowledge a call that no other node may serve. */
const NON_IDEMPOTENT_ACK_TIMEOUT_MS = 1000;

/** Time in milliseconds past a call's deadline in which the peer's own reply is still accepted. */
const DEADLINE_GRACE_MS = 50;

/** Count of messages kept until the handshake is done; further ones are dropped. */
const MAX_PENDING_MESSAGES = 64;

/** Time in milliseconds between pings, and thus the time in which a pong is expected. */
const PING_PERIOD_MS = 5000;

/** Count of pings in a row that may go unanswered before the connection is closed. */
const MAX_UNANSWERED_PINGS = 2;

/** A call that the peer has not finished. */
interface OpenCall {
  /** Sends the call's body. */
  readonly upload: BodySender;
  readonly settle: (reply: Reply) => void;
  readonly ackTimer: NodeJS.Timeout;
  /** Clears the deadline's timer and removes the signal's listener. */
  readonly release: () => void;
  /** The answer's body; undefined until the answer's head has arrived. */
  answer: BodyReceiver | undefined;
}

const refusalReply = (outcome: Refusal, load?: ShardLoad): Reply => ({
  kind: 'refused',
  outcome,
  load,
});

/** Returns the refusal of a call that was not sent to the peer. */
const unsent = (reason: NotRunReason): Reply => ({
  kind: 'refused',
  outcome: notRunOutcome(reason),
  unsent: true,
});

/** One dialed connection. It is used until it closes; the next call needs a new one. */
export class OutgoingConnection {
  private readonly socket: WebSocket;

  private readonly calls = new Map<number, OpenCall>();

  private readonly pending: PeerMessage[] = [];

  /**
   * Resolves to true once the peer has answered the `hello`, to false if the connection closed
   * first.
   */
  private readonly ready: Promise<boolean>;

  /** Whether the peer has answered the `hello`. */
  private isHandshakeDone = false;

  private nextId = 1;

  private unansweredPings = 0;

  private resolveReady: ((ready: boolean) => void) | undefined;

  constructor(
    url: string,
    private readonly context: PeerContext,
    private readonly onClosed: () => void,
  ) {
    this.ready = new Promise((resolve) => {
      this.resolveReady = resolve;
    });
    this.socket = new WebSocket(url, {
      maxPayload: MAX_FRAME_BYTES,
      perMessageDeflate: false,
      handshakeTimeout: CONNECT_TIMEOUT_MS,
    });
    const connectTimer = setTimeout(() => this.socket.terminate(), CONNECT_TIMEOUT_MS);
    void this.ready.then(() => clearTimeout(connectTimer));
    const pinger = setInterval(() => this.ping(), PING_PERIOD_MS);
    this.socket.on('open', () =>
      this.sendFrame({ t: 'hello', v: PEER_VERSION, node: this.context.self }),
    );
    this.socket.on('message', (bytes: Buffer) => this.onBytes(bytes));
    this.socket.on('pong', () => {
      this.unansweredPings = 0;
    });
    this.socket.on('error', () => this.socket.terminate());
    this.socket.on('close', () => {
      clearInterval(pinger);
      this.resolveReady?.(false);
      this.onClose();
    });
  }

  /** Whether calls are in progress on the connection. */
  get isBusy(): boolean {
    return this.calls.size > 0;
  }

  /** Sends a message now, or once the handshake is done. */
  sendMessage(msg: PeerMessage): void {
    if (this.isHandshakeDone) {
      this.sendFrame({ t: 'msg', msg });
      return;
    }
    if (this.pending.length >= MAX_PENDING_MESSAGES) {
      this.context.telemetry.count('peer-message-dropped', { topic: msg.topic });
      return;
    }
    this.pending.push(msg);
  }

  /** Sends a call to the peer, and resolves to the peer's reply or a refusal. Never rejects. */
  async call(role: CallRole, call: Call, body: Readable, signal: AbortSignal): Promise<Reply> {
    const isReady = this.isHandshakeDone || (await this.ready);
    const now = this.context.clock.now();
    if (!isReady) return unsent('connect-failed');
    if (signal.aborted) return unsent('cancelled');
    if (now >= call.deadline) return unsent('deadline-passed');
    return this.sendCall(role, call, body, signal, now);
  }

  /** Closes the connection at once. Its calls end with the reason `peer-lost`. */
  close(): void {
    this.socket.terminate();
  }

  /**
   * Sends a call with its body. The call ends with the peer's reply, a missing acknowledgement, its
   * deadline, an abort of `signal` or the end of the connection.
   */
  private sendCall(
    role: CallRole,
    call: Call,
    body: Readable,
    signal: AbortSignal,
    now: Instant,
  ): Promise<Reply> {
    const id = this.nextId;
    this.nextId += 1;
    const { deadline, ...rest } = call;
    const giveUp = (outcome: Refusal): void => {
      const open = this.calls.get(id);
      if (!open) return;
      this.sendFrame({ t: 'cancel', id });
      if (open.answer) open.answer.fail(outcome.reason);
      else open.settle(refusalReply(outcome));
      this.removeCall(id);
    };
    const after = (millis: Millis, outcome: Refusal): NodeJS.Timeout =>
      setTimeout(() => giveUp(outcome), millis);
    return new Promise((settle) => {
      const ackMs = call.idempotent ? IDEMPOTENT_ACK_TIMEOUT_MS : NON_IDEMPOTENT_ACK_TIMEOUT_MS;
      const deadlineTimer = after(deadline - now + DEADLINE_GRACE_MS, unknownOutcome('timeout'));
      const onAbort = (): void => giveUp(unknownOutcome('timeout'));
      signal.addEventListener('abort', onAbort, { once: true });
      const upload = new BodySender(id, 'up', this.sendFrame);
      this.calls.set(id, {
        upload,
        settle,
        answer: undefined,
        ackTimer: after(ackMs, unknownOutcome('peer-lost')),
        release: () => {
          clearTimeout(deadlineTimer);
          signal.removeEventListener('abort', onAbort);
        },
      });
      this.sendFrame({ t: 'call', id, role, call: { ...rest, timeLeft: deadline - now } });
      void upload.sendAll(body);
    });
  }

  private readonly sendFrame = (frame: Frame): void => {
    if (this.socket.readyState === WebSocket.OPEN) this.socket.send(encodeFrame(frame));
  };

  private onBytes(bytes: Buffer): void {
    this.unansweredPings = 0;
    decodeFrame(bytes).caseOf({
      Left: (err) => {
        this.context.telemetry.count('peer-frame-refused', { reason: err.kind });
        this.socket.terminate();
      },
      Right: (frame) => this.onFrame(frame),
    });
  }

  private onFrame(frame: Frame): void {
    switch (frame.t) {
      case 'hello':
        this.onHello();
        return;
      case 'refuse-version':
        this.context.telemetry.event('peer-refused-our-version', { version: frame.v });
        this.socket.terminate();
        return;
      case 'ack':
        clearTimeout(this.calls.get(frame.id)?.ackTimer);
        return;
      case 'credit':
        this.calls.get(frame.id)?.upload.grant(frame.bytes);
        return;
      case 'refused':
        this.calls.get(frame.id)?.settle(refusalReply(frame.outcome, frame.load));
        this.removeCall(frame.id);
        return;
      case 'answer':
        this.onAnswer(frame);
        return;
      case 'data':
        this.calls.get(frame.id)?.answer?.accept(frame.bytes);
        return;
      case 'end':
        this.calls.get(frame.id)?.answer?.finish();
        this.removeCall(frame.id);
        return;
      case 'broken':
        this.calls.get(frame.id)?.answer?.fail(frame.fault);
        this.removeCall(frame.id);
        return;
      case 'msg':
      case 'call':
      case 'cancel':
        // Only the dialing end sends these.
        this.socket.terminate();
    }
  }

  private onHello(): void {
    this.isHandshakeDone = true;
    this.resolveReady?.(true);
    this.pending.splice(0).forEach((msg) => this.sendFrame({ t: 'msg', msg }));
  }

  private onAnswer(frame: Extract<Frame, { t: 'answer' }>): void {
    const open = this.calls.get(frame.id);
    if (!open) return;
    clearTimeout(open.ackTimer);
    const onAbandoned = (): void => {
      this.sendFrame({ t: 'cancel', id: frame.id });
      this.removeCall(frame.id);
    };
    const body = new BodyReceiver(frame.id, 'down', this.sendFrame, onAbandoned);
    open.answer = body;
    open.settle({
      kind: 'answer',
      status: frame.status,
      headers: frame.headers,
      body,
      load: frame.load,
    });
  }

  /** Ends a call on this side: stops its upload and its timers. */
  private removeCall(id: number): void {
    const open = this.calls.get(id);
    if (!open) return;
    clearTimeout(open.ackTimer);
    open.upload.stop();
    this.calls.delete(id);
    open.release();
  }

  /** Pings the peer while calls are in progress. Without calls, the membership's probes suffice. */
  private ping(): void {
    if (this.socket.readyState !== WebSocket.OPEN || !this.isBusy) return;
    if (this.unansweredPings >= MAX_UNANSWERED_PINGS) {
      this.socket.terminate();
      return;
    }
    this.unansweredPings += 1;
    this.socket.ping();
  }

  private onClose(): void {
    [...this.calls].forEach(([id, open]) => {
      if (open.answer) open.answer.fail('peer-lost');
      else open.settle(refusalReply(unknownOutcome('peer-lost')));
      this.removeCall(id);
    });
    this.onClosed();
  }
}
