import { guarded } from '../../adapters/guarded';

/** Number of turns in succession in which connections are taken and no request is served. */
const MAX_TAKING_TURNS = 16;

/** A request that is to be served. */
interface Waiting {
  /** The turn in which it was read. */
  readonly turn: number;
  /** Serves the request; returns false if there is nothing to do any more. */
  readonly serve: () => boolean;
}

/**
 * Serves one request in each turn of the event loop, in the order in which they were read, and none
 * before the sockets have been polled again after its reading. As many are parsed of those that
 * callers have sent ahead, one of each connection after the other, so that a caller with one request
 * waits for no more than one of each other connection. Turns that take a connection, of which
 * each takes one at most, first go on until none waits. Load pattern: a busy host reads a request
 * when its caller has already left, as the disconnection is read after it; and where each turn serves
 * all that it reads, new connections wait unseen for ever longer turns, in place of their requests
 * waiting where their age is known.
 */
export class ServingTurns {
  private turn = 0;

  private readonly waiting: Waiting[] = [];

  /** Parse one request each. */
  private readonly readings: (() => boolean)[] = [];

  private isScheduled = false;

  private lastTakenCount = 0;

  /** Number of turns in succession in which a connection was taken. */
  private takingTurns = 0;

  /** `takenCount` returns the number of connections taken so far. */
  constructor(private readonly takenCount: () => number = () => 0) {}

  /** Has a request served that is read now. */
  add(serve: () => boolean): void {
    this.waiting.push({ turn: this.turn, serve });
    this.schedule();
  }

  /** Has `read` parse a request in its turn; it returns false if there is nothing to do any more. */
  addReading(read: () => boolean): void {
    this.readings.push(read);
    this.schedule();
  }

  private schedule(): void {
    if (this.isScheduled || this.waiting.length + this.readings.length === 0) return;
    this.isScheduled = true;
    // Immediates run once in each turn, after the sockets are polled.
    setImmediate(
      guarded('serving-turns timer', () => {
        this.isScheduled = false;
        try {
          if (!this.isTaking()) {
            this.serveNext();
            this.readNext();
          }
        } finally {
          this.turn += 1;
          this.schedule();
        }
      }),
    );
  }

  /** Whether more connections may wait, as one was taken in this turn. */
  private isTaking(): boolean {
    const count = this.takenCount();
    const hasTaken = count > this.lastTakenCount;
    this.lastTakenCount = count;
    this.takingTurns = hasTaken ? this.takingTurns + 1 : 0;
    return hasTaken && this.takingTurns % MAX_TAKING_TURNS !== 0;
  }

  private serveNext(): void {
    for (;;) {
      const [first] = this.waiting;
      if (!first || first.turn >= this.turn) return;
      this.waiting.shift();
      if (first.serve()) return;
    }
  }

  private readNext(): void {
    for (;;) {
      const read = this.readings.shift();
      if (!read || read()) return;
    }
  }
}
