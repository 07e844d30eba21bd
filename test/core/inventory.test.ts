import { expect } from 'earl';
import { describe, it } from 'node:test';

import { Inventory, type Upstream } from '../../src/model';

const upstream = (id: string, service = 'bookings'): Upstream => ({
  id,
  service,
  dataCentre: 'takoradi',
  address: '127.0.0.1',
  port: 1,
  slots: 6,
  connections: 350,
});

describe('Inventory', () => {
  it('leaves the earlier inventory unchanged when an upstream is removed', () => {
    const before = Inventory.from([upstream('a'), upstream('b')]);
    const after = before.withChanges([], ['a']);
    expect(before.has('a')).toEqual(true);
    expect(after.ofService('bookings').map(({ id }) => id)).toEqual(['b']);
  });

  it('lists an upstream that changes its service under the new service only', () => {
    const after = Inventory.from([upstream('a')]).withChanges([upstream('a', 'archives')], []);
    expect(after.ofService('bookings')).toEqual([]);
    expect(after.ofService('archives').length).toEqual(1);
  });
});
