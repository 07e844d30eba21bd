import type { Server } from 'node:http';
import type { Socket } from 'node:net';

import { guarded } from '../../adapters/guarded';
import { PollTimes } from '../../core/gateway';
import type { Instant, Millis } from '../../model';

import type { GatewayContext } from '../context';

/** Interval in milliseconds at which the times of polls are recorded. */
const POLL_RECORD_INTERVAL_MS: Millis = 25;
/** Time in milliseconds between two recorded polls up to which the event loop isn't late. */
const ON_TIME_MS: Millis = 2 * POLL_RECORD_INTERVAL_MS;
/** Time in milliseconds between two polls, or until a request is read, from which it is logged. */
const LATE_LOG_MS: Millis = 250;

/** A connection that was taken from the queue of a listening socket. */
interface AcceptedConnection {
  readonly acceptedAt: Instant;
  /** The earliest time at which it can have been established. */
  readonly earliestArrival: Instant;
}

/**
 * Tells when requests arrived at the sockets of this process, which may be long before they are
 * read: the latest time at which nothing waited there, or now if that is no more than `ON_TIME_MS`
 * ago. A listening socket gives one connection in each turn of the event loop, so that connections
 * may wait for many turns.
 */
export class ArrivalTimes {
  private readonly polls: PollTimes;

  private readonly acceptQueues = new Map<Server, { readonly polls: PollTimes; taken: number }>();

  private readonly accepted = new WeakMap<Socket, AcceptedConnection>();

  private readonly timer: NodeJS.Timeout;

  private isEmptyingQueues = false;

  /** Number of requests that were read late since the last recorded poll. */
  private lateCount = 0;

  /** The longest time in milliseconds between the arrival of one of them and its reading. */
  private maxDelay: Millis = 0;

  constructor(private readonly context: Pick<GatewayContext, 'clock' | 'telemetry'>) {
    this.polls = new PollTimes(context.clock.now());
    this.timer = setInterval(
      guarded('arrival-times timer', () => this.recordPoll()),
      POLL_RECORD_INTERVAL_MS,
    ).unref();
  }

  /** Also bounds the arrival of the connections of a server. */
  watch(server: Server): void {
    const polls = new PollTimes(this.context.clock.now());
    const queue = { polls, taken: 0 };
    this.acceptQueues.set(server, queue);
    server.on(
      'connection',
      guarded('arrival-times connection', (socket: Socket) => {
        queue.taken += 1;
        this.accepted.set(socket, {
          acceptedAt: this.context.clock.now(),
          earliestArrival: polls.earliestArrival,
        });
        this.emptyQueues();
      }),
    );
  }

  /** Returns when a request arrived that is read now from a socket. */
  arrivalAt(socket: Socket): Instant {
    const now = this.context.clock.now();
    const { earliestArrival } = this.polls;
    const accepted = this.accepted.get(socket);
    const isFirstPoll = accepted !== undefined && earliestArrival < accepted.acceptedAt;
    const earliest = isFirstPoll
      ? Math.min(earliestArrival, accepted.earliestArrival)
      : earliestArrival;
    const delay = now - earliest;
    if (delay <= ON_TIME_MS) return now;
    this.lateCount += 1;
    this.maxDelay = Math.max(this.maxDelay, delay);
    this.context.telemetry.latency('read_delay', delay);
    return earliest;
  }

  /** Number of connections that were taken from the queues of the watched servers. */
  get takenCount(): number {
    return [...this.acceptQueues.values()].reduce((sum, { taken }) => sum + taken, 0);
  }

  close(): void {
    clearInterval(this.timer);
  }

  /** Records a poll; to be called in a phase of the event loop after which the sockets are polled. */
  private recordPoll(onRecorded: () => void = () => {}): void {
    const since = this.context.clock.now();
    const taken = new Map([...this.acceptQueues.values()].map((queue) => [queue, queue.taken]));
    setImmediate(
      guarded('arrival-times timer', () => {
        this.logIfLate(this.polls.onPolled(since));
        taken.forEach((before, queue) => {
          if (queue.taken === before) queue.polls.onPolled(since);
        });
        onRecorded();
      }),
    );
  }

  /** Logs a long time between two polls, and what was read late since the one before. */
  private logIfLate(gap: Millis): void {
    if (Math.max(gap, this.maxDelay) >= LATE_LOG_MS) {
      this.context.telemetry.event('event-loop-late', {
        gapMs: Math.round(gap),
        requests: this.lateCount,
        maxDelayMs: Math.round(this.maxDelay),
      });
    }
    this.lateCount = 0;
    this.maxDelay = 0;
  }

  /** Records polls until one finds the queues of all listening sockets empty. */
  private emptyQueues(): void {
    if (this.isEmptyingQueues) return;
    this.isEmptyingQueues = true;
    const record = (): void => {
      const before = this.takenCount;
      this.recordPoll(() => {
        if (this.takenCount === before) this.isEmptyingQueues = false;
        else record();
      });
    };
    // Connections are taken while sockets are polled, and immediates run after it.
    setImmediate(guarded('arrival-times timer', record));
  }
}
