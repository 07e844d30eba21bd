/** A stand-in for the platform's list of live and leaving hosts, which lags behind changes. */
import { createServer } from 'node:http';

import { closeServer, asRequestListener, listen, readBody, sendJson, type StandIn } from './server';

/** One entry of the JSON array that `GET /hosts` returns. */
export interface HostRow {
  readonly address: string;
  readonly callerPort: number;
  readonly peerPort: number;
  readonly dataCentre: string;
  readonly leaving: boolean;
}

/** JSON body of `POST /_control`. A field that is left out keeps its value. */
export interface HostListControl {
  readonly hosts?: readonly HostRow[];
  /** Time in milliseconds until later changes of `hosts` become visible. */
  readonly lagMs?: number;
  /** Whether `GET /hosts` is answered 503. */
  readonly outage?: boolean;
}

export interface HostListOptions extends HostListControl {
  readonly port: number;
}

/** A host list that becomes visible at `visibleAt`, in Unix milliseconds. */
interface PendingChange {
  readonly visibleAt: number;
  readonly hosts: readonly HostRow[];
}

/** The visible host list and the changes that are not visible yet. */
class HostListState {
  private visibleHosts: readonly HostRow[] = [];

  private pendingChanges: readonly PendingChange[] = [];

  private lagMs = 0;

  outage = false;

  apply(control: HostListControl, now: number): void {
    this.lagMs = control.lagMs ?? this.lagMs;
    this.outage = control.outage ?? this.outage;
    if (!control.hosts) return;
    this.pendingChanges = [
      ...this.pendingChanges,
      { visibleAt: now + this.lagMs, hosts: control.hosts },
    ];
  }

  /** Returns the list that is visible at `now`. Discards changes that it has applied. */
  hostsAt(now: number): readonly HostRow[] {
    const due = this.pendingChanges.filter(({ visibleAt: showsAt }) => showsAt <= now);
    this.pendingChanges = this.pendingChanges.filter(({ visibleAt: showsAt }) => showsAt > now);
    this.visibleHosts = due.at(-1)?.hosts ?? this.visibleHosts;
    return this.visibleHosts;
  }
}

/** Starts the host list on loopback; port 0 takes a free one. Rejects when the port is taken. */
export const startHostList = async (options: HostListOptions): Promise<StandIn> => {
  const { port, ...control } = options;
  const state = new HostListState();
  state.apply(control, Date.now());
  const server = createServer(
    asRequestListener(async (req, res, url) => {
      if (url.pathname === '/_control') {
        state.apply(JSON.parse(String(await readBody(req))) as HostListControl, Date.now());
        return sendJson(res, 200, {});
      }
      if (url.pathname !== '/hosts') return sendJson(res, 404, { error: 'not found' });
      if (state.outage) return sendJson(res, 503, { error: 'outage' });
      sendJson(res, 200, state.hostsAt(Date.now()));
    }),
  );
  return { port: await listen(server, port), close: () => closeServer(server) };
};
