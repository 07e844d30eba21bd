import type { Instant, Millis } from '../../model';

import type { UnservedPriority } from './service-report';

/** Time in milliseconds for which a refused request counts. */
const REFUSAL_WINDOW_MS: Millis = 500;
/** Longest time in milliseconds between two reports while requests wait or are refused. */
const REPORT_INTERVAL_MS: Millis = 500;
/** Time in milliseconds allowed for a report to arrive. */
const DELIVERY_MS: Millis = 200;
/** Age in milliseconds beyond which a peer's report no longer counts. */
const PEER_VALIDITY_MS: Millis = REFUSAL_WINDOW_MS + REPORT_INTERVAL_MS + DELIVERY_MS;

/** The priorities of a service whose requests this gateway has refused. */
export class RefusedPriorities {
  private readonly refusedAt = new Map<number, Instant>();

  record(priority: number, now: Instant): void {
    this.refusedAt.set(priority, now);
  }

  /** Returns the most urgent priority that waits (`waiting`) or was refused recently. */
  mostUrgent(waiting: number | undefined, now: Instant): UnservedPriority | undefined {
    let urgent: UnservedPriority | undefined =
      waiting === undefined ? undefined : { priority: waiting, ago: 0 };
    this.refusedAt.forEach((at, priority) => {
      if (now - at > REFUSAL_WINDOW_MS) this.refusedAt.delete(priority);
      else if (!urgent || priority < urgent.priority) urgent = { priority, ago: now - at };
    });
    return urgent;
  }
}

/** The most urgent priorities that other owners of a service report as waiting or refused. */
export class PeerPriorities {
  private readonly bySender = new Map<
    number,
    { readonly priority: number; readonly until: Instant }
  >();

  /** Takes in what an owner reports now; undefined if nothing waits there or was refused. */
  record(sender: number, unserved: UnservedPriority | undefined, now: Instant): void {
    if (!unserved) this.bySender.delete(sender);
    else {
      const until = now - unserved.ago + PEER_VALIDITY_MS;
      this.bySender.set(sender, { priority: unserved.priority, until });
    }
  }

  /** Returns the most urgent of the priorities; undefined if none is reported. */
  mostUrgent(now: Instant): number | undefined {
    let urgent: number | undefined;
    this.bySender.forEach(({ priority, until }, sender) => {
      if (now >= until) this.bySender.delete(sender);
      else if (urgent === undefined || priority < urgent) urgent = priority;
    });
    return urgent;
  }
}
