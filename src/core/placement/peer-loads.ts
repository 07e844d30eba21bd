import type { Instant, Millis } from '../../model';

/** Requests that one other owner has in flight at an upstream, as it last reported. */
export interface PeerLoad {
  readonly inFlight: number;
  /** Milliseconds since the report arrived. */
  readonly age: Millis;
}

/** Time in milliseconds for which a report counts; owners repeat unchanged ones more often. */
const PEER_LOAD_VALIDITY_MS: Millis = 3000;

/** The requests that other owners have in flight at one upstream. */
export class PeerLoads {
  private readonly bySender = new Map<
    number,
    { readonly inFlight: number; readonly at: Instant }
  >();

  /** Records a report; `sender` identifies the owner. */
  record(sender: number, inFlight: number, now: Instant): void {
    if (inFlight > 0) this.bySender.set(sender, { inFlight, at: now });
    else this.bySender.delete(sender);
  }

  /** Returns the reports that still count, one for each owner with requests in flight. */
  at(now: Instant): readonly PeerLoad[] {
    const loads: PeerLoad[] = [];
    this.bySender.forEach(({ inFlight, at }, sender) => {
      if (now - at < PEER_LOAD_VALIDITY_MS) loads.push({ inFlight, age: now - at });
      else this.bySender.delete(sender);
    });
    return loads;
  }
}
