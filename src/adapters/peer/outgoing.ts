/** The dialing end of a peer connection: sends messages, and calls for the peer to serve. */
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

import { FlowReceiver, FlowSender } from './flow';
import { decodeFrame, encodeFrame, MAX_FRAME_BYTES, PEER_VERSION, type Frame } from './frame';
import type { PeerContext } from './incoming';

/** How long a peer may take to accept a connection and greet. */
const CONNECT_MS = 500;

/** How long a peer may take to say that a call arrived, where another node could serve it. */
const ACK_IDEMPOTENT_MS = 250;

/** The same where no other node may. */
const ACK_OTHERWISE_MS = 1000;

/** How long past a call's deadline the peer's own final answer is waited for. */
const DEADLINE_GRACE_MS = 50;

/** Messages kept while the connection is being made. */
const PENDING_MESSAGES = 64;

const PING_EVERY_MS = 5000;

const SILENT_PINGS_ALLOWED = 2;

interface OpenCall {
  readonly upload: FlowSender;
  readonly settle: (reply: Reply) => void;
  readonly ackTimer: NodeJS.Timeout;
  /** Frees the deadline's timer and the signal's listener. */
  readonly release: () => void;
  answer: FlowReceiver | undefined;
}

const refuse = (outcome: Refusal, load?: ShardLoad): Reply => ({ kind: 'refused', outcome, load });

const unsent = (reason: NotRunReason): Reply => ({
  kind: 'refused',
  outcome: notRunOutcome(reason),
  unsent: true,
});

/** One dialed connection; used until it closes, then replaced. */
export class OutgoingConnection {
  private readonly socket: WebSocket;

  private readonly calls = new Map<number, OpenCall>();

  private readonly pending: PeerMessage[] = [];

  private readonly ready: Promise<boolean>;

  private greeted = false;

  private nextId = 1;

  private silentPings = 0;

  private settleReady: ((ready: boolean) => void) | undefined;

  constructor(
    url: string,
    private readonly context: PeerContext,
    private readonly onClosed: () => void,
  ) {
    this.ready = new Promise((resolve) => {
      this.settleReady = resolve;
    });
    this.socket = new WebSocket(url, {
      maxPayload: MAX_FRAME_BYTES,
      perMessageDeflate: false,
      handshakeTimeout: CONNECT_MS,
    });
    const connectTimer = setTimeout(() => this.socket.terminate(), CONNECT_MS);
    void this.ready.then(() => clearTimeout(connectTimer));
    const pinger = setInterval(() => this.ping(), PING_EVERY_MS);
    this.socket.on('open', () =>
      this.write({ t: 'hello', v: PEER_VERSION, node: this.context.self }),
    );
    this.socket.on('message', (bytes: Buffer) => this.onBytes(bytes));
    this.socket.on('pong', () => {
      this.silentPings = 0;
    });
    this.socket.on('error', () => this.socket.terminate());
    this.socket.on('close', () => {
      clearInterval(pinger);
      this.settleReady?.(false);
      this.onClose();
    });
  }

  /** Whether calls are open on it. */
  get isBusy(): boolean {
    return this.calls.size > 0;
  }

  /** Sends a message now, or once the connection is made. */
  message(msg: PeerMessage): void {
    if (this.greeted) {
      this.write({ t: 'msg', msg });
      return;
    }
    if (this.pending.length >= PENDING_MESSAGES) {
      this.context.telemetry.count('peer-message-dropped', { topic: msg.topic });
      return;
    }
    this.pending.push(msg);
  }

  /** Has the peer serve a call. Never rejects. */
  async call(role: CallRole, call: Call, body: Readable, signal: AbortSignal): Promise<Reply> {
    const isReady = this.greeted || (await this.ready);
    const now = this.context.clock.now();
    if (!isReady) return unsent('connect-failed');
    if (signal.aborted) return unsent('cancelled');
    if (now >= call.deadline) return unsent('deadline-passed');
    return this.sendCall(role, call, body, signal, now);
  }

  close(): void {
    this.socket.terminate();
  }

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
      this.write({ t: 'cancel', id });
      if (open.answer) open.answer.fail(outcome.reason);
      else open.settle(refuse(outcome));
      this.forget(id);
    };
    const after = (millis: Millis, outcome: Refusal): NodeJS.Timeout =>
      setTimeout(() => giveUp(outcome), millis);
    return new Promise((settle) => {
      const ackMs = call.idempotent ? ACK_IDEMPOTENT_MS : ACK_OTHERWISE_MS;
      const deadlineTimer = after(deadline - now + DEADLINE_GRACE_MS, unknownOutcome('timeout'));
      const onAbort = (): void => giveUp(unknownOutcome('timeout'));
      signal.addEventListener('abort', onAbort, { once: true });
      const upload = new FlowSender(id, 'up', this.write);
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
      this.write({ t: 'call', id, role, call: { ...rest, timeLeft: deadline - now } });
      void upload.run(body);
    });
  }

  private readonly write = (frame: Frame): void => {
    if (this.socket.readyState === WebSocket.OPEN) this.socket.send(encodeFrame(frame));
  };

  private onBytes(bytes: Buffer): void {
    this.silentPings = 0;
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
        this.calls.get(frame.id)?.settle(refuse(frame.outcome, frame.load));
        this.forget(frame.id);
        return;
      case 'answer':
        this.onAnswer(frame);
        return;
      case 'data':
        this.calls.get(frame.id)?.answer?.accept(frame.bytes);
        return;
      case 'end':
        this.calls.get(frame.id)?.answer?.finish();
        this.forget(frame.id);
        return;
      case 'broken':
        this.calls.get(frame.id)?.answer?.fail(frame.fault);
        this.forget(frame.id);
        return;
      case 'msg':
      case 'call':
      case 'cancel':
        // Only the dialing end sends these.
        this.socket.terminate();
    }
  }

  private onHello(): void {
    this.greeted = true;
    this.settleReady?.(true);
    this.pending.splice(0).forEach((msg) => this.write({ t: 'msg', msg }));
  }

  private onAnswer(frame: Extract<Frame, { t: 'answer' }>): void {
    const open = this.calls.get(frame.id);
    if (!open) return;
    clearTimeout(open.ackTimer);
    const onAbandoned = (): void => {
      this.write({ t: 'cancel', id: frame.id });
      this.forget(frame.id);
    };
    const body = new FlowReceiver(frame.id, 'down', this.write, onAbandoned);
    open.answer = body;
    open.settle({
      kind: 'answer',
      status: frame.status,
      headers: frame.headers,
      body,
      load: frame.load,
    });
  }

  private forget(id: number): void {
    const open = this.calls.get(id);
    if (!open) return;
    clearTimeout(open.ackTimer);
    open.upload.stop();
    this.calls.delete(id);
    open.release();
  }

  /** Probes the connection while calls depend on it; members' own probes cover the rest. */
  private ping(): void {
    if (this.socket.readyState !== WebSocket.OPEN || !this.isBusy) return;
    if (this.silentPings >= SILENT_PINGS_ALLOWED) {
      this.socket.terminate();
      return;
    }
    this.silentPings += 1;
    this.socket.ping();
  }

  private onClose(): void {
    [...this.calls].forEach(([id, open]) => {
      if (open.answer) open.answer.fail('peer-lost');
      else open.settle(refuse(unknownOutcome('peer-lost')));
      this.forget(id);
    });
    this.onClosed();
  }
}
