import { expect } from 'earl';
import { describe, it } from 'node:test';

import { PeerPriorities, RefusedPriorities } from '../../../src/core/evidence';
import { PeerLoads } from '../../../src/core/placement';

describe('the most urgent priority that waits or was refused', () => {
  // Guards against a host that holds its requests back for priorities no longer refused anywhere.
  it('is that of the last half second at this host', () => {
    const refused = new RefusedPriorities();
    expect(refused.mostUrgent(undefined, 0)).toEqual(undefined);
    refused.record(2, 1000);
    refused.record(5, 1300);
    expect(refused.mostUrgent(undefined, 1400)).toEqual({ priority: 2, ago: 400 });
    expect(refused.mostUrgent(3, 1400)).toEqual({ priority: 2, ago: 400 });
    expect(refused.mostUrgent(3, 1600)).toEqual({ priority: 3, ago: 0 });
    expect(refused.mostUrgent(undefined, 1801)).toEqual(undefined);
  });

  it('is the least of all peers, until a peer reports none or has long been silent', () => {
    const peers = new PeerPriorities();
    peers.record(1, { priority: 4, ago: 0 }, 1000);
    peers.record(2, { priority: 1, ago: 300 }, 1000);
    expect(peers.mostUrgent(1000)).toEqual(1);
    peers.record(2, undefined, 1100);
    expect(peers.mostUrgent(1100)).toEqual(4);
    expect(peers.mostUrgent(2200)).toEqual(undefined);
  });
});

describe('the load that peers report', () => {
  // Guards against counting the requests of a host that has died.
  it('has one entry for each peer with requests in flight, and forgets silent ones', () => {
    const loads = new PeerLoads();
    loads.record(1, 2, 1000);
    loads.record(1, 3, 1500);
    loads.record(2, 1, 1400);
    loads.record(2, 0, 1600);
    expect(loads.at(1700)).toEqual([{ inFlight: 3, age: 200 }]);
    expect(loads.at(4500)).toEqual([]);
  });
});
