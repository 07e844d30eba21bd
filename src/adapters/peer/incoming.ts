/**
 * Implements the accepting end of a peer connection: serves the dialer's calls and takes its
 * messages.
 */
import type { WebSocket } from 'ws';

import { unknownOutcome, type NodeIdentity } from '../../model';
import type { CallRole, Clock, Handler, PeerMessage, Reply, Telemetry } from '../../ports';

import { BodyReceiver, BodySender } from './body-transfer';
import { decodeFrame, encodeFrame, PEER_VERSION, type Frame, type WireCall } from './frame';

/** Handles the calls and messages of peers. */
export interface PeerService {
  /** The handlers of calls, by the role that a call names. */
  readonly handlers: Readonly<Record<CallRole, Handler>>;
  onMessage(from: NodeIdentity, message: PeerMessage): void;
}

/** The dependencies that both ends of a peer connection share. */
export interface PeerContext {
  readonly self: NodeIdentity;
  readonly clock: Clock;
  readonly telemetry: Telemetry;
}

/** A call in progress that a peer has sent. */
interface ServedCall {
  /** The call's body. */
  readonly body: BodyReceiver;
  /** Sends the answer's body. */
  readonly answer: BodySender;
  /** Aborts the handler when the peer cancels the call or disconnects. */
  readonly controller: AbortController;
}

/** The WebSocket close code for a peer with another protocol version. */
export const VERSION_CLOSE_CODE = 4001;

/** The WebSocket close code for a peer that sends a malformed or unexpected frame. */
export const MALFORMED_CLOSE_CODE = 4002;

/** Serves one accepted connection until it closes. */
export const acceptConnection = (
  socket: WebSocket,
  context: PeerContext,
  service: PeerService,
): void => new IncomingConnection(socket, context, service).start();

class IncomingConnection {
  private readonly calls = new Map<number, ServedCall>();

  /** The peer; undefined until its `hello`. */
  private peer: NodeIdentity | undefined;

  constructor(
    private readonly socket: WebSocket,
    private readonly context: PeerContext,
    private readonly service: PeerService,
  ) {}

  start(): void {
    this.socket.on('message', (bytes: Buffer) => this.onBytes(bytes));
    this.socket.on('close', () => this.onClose());
    this.socket.on('error', () => this.socket.terminate());
  }

  private readonly send = (frame: Frame): void => {
    if (this.socket.readyState === this.socket.OPEN) this.socket.send(encodeFrame(frame));
  };

  private onBytes(bytes: Buffer): void {
    decodeFrame(bytes).caseOf({
      Left: (err) => {
        this.context.telemetry.count('peer-frame-refused', { reason: err.kind });
        this.socket.close(MALFORMED_CLOSE_CODE, err.kind);
      },
      Right: (frame) => this.onFrame(frame),
    });
  }

  private onFrame(frame: Frame): void {
    if (frame.t === 'hello') {
      this.onHello(frame.v, frame.node);
      return;
    }
    if (!this.peer) {
      this.socket.close(MALFORMED_CLOSE_CODE, 'no-hello');
      return;
    }
    switch (frame.t) {
      case 'msg':
        this.service.onMessage(this.peer, frame.msg);
        return;
      case 'call':
        this.onCall(frame.id, frame.role, frame.call);
        return;
      case 'data':
        this.calls.get(frame.id)?.body.accept(frame.bytes);
        return;
      case 'end':
        this.calls.get(frame.id)?.body.finish();
        return;
      case 'broken':
        this.calls.get(frame.id)?.body.fail(frame.fault);
        return;
      case 'credit':
        this.calls.get(frame.id)?.answer.grant(frame.bytes);
        return;
      case 'cancel':
        this.cancel(frame.id);
        return;
      case 'ack':
      case 'answer':
      case 'refused':
      case 'refuse-version':
        // Only the accepting end sends these.
        this.socket.close(MALFORMED_CLOSE_CODE, frame.t);
    }
  }

  private onHello(version: number, node: NodeIdentity): void {
    if (version !== PEER_VERSION) {
      this.context.telemetry.count('peer-version-refused');
      this.context.telemetry.event('peer-version-refused', { peer: node.address, version });
      this.send({ t: 'refuse-version', v: PEER_VERSION });
      this.socket.close(VERSION_CLOSE_CODE, 'version');
      return;
    }
    this.peer = node;
    this.send({ t: 'hello', v: PEER_VERSION, node: this.context.self });
  }

  private onCall(id: number, role: CallRole, wire: WireCall): void {
    if (this.calls.has(id)) {
      this.socket.close(MALFORMED_CLOSE_CODE, 'call-id-reused');
      return;
    }
    this.send({ t: 'ack', id });
    const { timeLeft, ...rest } = wire;
    const call = { ...rest, deadline: this.context.clock.now() + timeLeft };
    const served: ServedCall = {
      body: new BodyReceiver(id, 'up', this.send, () => {}),
      answer: new BodySender(id, 'down', this.send),
      controller: new AbortController(),
    };
    this.calls.set(id, served);
    void this.service.handlers[role](call, served.body, served.controller.signal)
      .catch((err: unknown): Reply => {
        this.context.telemetry.event('call-handler-failed', { role, error: String(err) });
        return { kind: 'refused', outcome: unknownOutcome('peer-lost') };
      })
      .then((reply) => this.sendReply(id, served, reply))
      .finally(() => this.calls.delete(id));
  }

  private async sendReply(id: number, served: ServedCall, reply: Reply): Promise<void> {
    const { load } = reply;
    switch (reply.kind) {
      case 'refused':
        this.send({ t: 'refused', id, outcome: reply.outcome, load });
        return;
      case 'answer':
        this.send({ t: 'answer', id, status: reply.status, headers: reply.headers, load });
        await served.answer.sendAll(reply.body);
    }
  }

  private cancel(id: number): void {
    const served = this.calls.get(id);
    if (!served) return;
    served.controller.abort();
    served.body.fail('cancelled');
    served.answer.stop();
  }

  private onClose(): void {
    [...this.calls.keys()].forEach((id) => this.cancel(id));
  }
}
