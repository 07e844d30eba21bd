import { expect } from 'earl';
import { describe, it } from 'node:test';

import { addressesFor, addressAnswerOf, RouteTable } from '../../src/core';
import { NO_RULES, type Member, type MemberState, type Route } from '../../src/model';

const route = (method: string, pathPrefix: string, service: string, group?: string): Route => ({
  method,
  pathPrefix,
  service,
  idempotent: true,
  timeout: 1000,
  group,
});

const findService = (table: RouteTable, method: string, path: string, workspace = 'anyone') =>
  table
    .find(method, path, workspace)
    .map(({ service }) => service)
    .orDefault('none');

describe('RouteTable', () => {
  const booking = route('POST', '/seats/booking', 'bookings');
  const rules = {
    ...NO_RULES,
    routes: [route('*', '/seats', 'seats'), booking, route('GET', '/seats/maps', 'trial', 'early')],
    workspaces: [{ name: 'society', weight: 1, group: 'early' }],
  };

  it('matches the longest prefix on segment boundaries', () => {
    const table = new RouteTable();
    table.update(rules);
    expect(findService(table, 'POST', '/seats/booking/7?x=/seats')).toEqual('bookings');
    expect(findService(table, 'GET', '/seats/booking/7')).toEqual('seats');
    expect(findService(table, 'GET', '/seatsmaps')).toEqual('none');
  });

  it("prefers the routes of the workspace's group", () => {
    const table = new RouteTable();
    table.update(rules);
    expect(findService(table, 'GET', '/seats/maps/1', 'society')).toEqual('trial');
    expect(findService(table, 'GET', '/seats/maps/1')).toEqual('seats');
    expect(findService(table, 'POST', '/seats/booking', 'society')).toEqual('bookings');
  });

  it('gives the same routes after an update as a new table', () => {
    const table = new RouteTable();
    table.update(rules);
    const moved = route('POST', '/seats/booking', 'postings');
    table.update({ ...rules, routes: rules.routes.map((it_) => (it_ === booking ? moved : it_)) });
    expect(findService(table, 'POST', '/seats/booking')).toEqual('postings');
    table.update(NO_RULES);
    expect(findService(table, 'POST', '/seats/booking', 'society')).toEqual('none');
  });
});

const member = (i: number, state: MemberState = 'alive'): Member => ({
  incarnation: `run-${i}`,
  dataCentre: 'dg-buk',
  address: `10.0.0.${i}`,
  callerPort: 80,
  peerPort: 81,
  state,
});

describe('addressesFor', () => {
  const members = Array.from({ length: 20 }, (_, i) => member(i, i === 3 ? 'suspect' : 'alive'));
  const at = (i: number): Member => members[i] ?? member(i);

  it('lists alive owners first, then standbys, then others, and no suspect node', () => {
    const nodes = addressesFor({
      owners: [[at(3), at(4), at(5)]],
      members,
      workspace: 'society',
    });
    const named = nodes.map(({ incarnation }) => incarnation);
    expect(named.slice(0, 2).sort()).toEqual(['run-4', 'run-5']);
    expect(named.includes('run-3')).toEqual(false);
    expect(new Set(named).size).toEqual(6);
  });

  it('spreads workspaces over the owners of a service', () => {
    const owners = [[at(1)], [at(2)]];
    const firsts = Array.from({ length: 100 }, (_, i) =>
      addressesFor({ owners, members, workspace: `w${i}` }).at(0),
    );
    const toOne = firsts.filter((node) => node?.incarnation === 'run-1').length;
    expect(toOne > 30 && toOne < 70).toEqual(true);
  });

  it("includes the first node's key prefix and an expiry time", () => {
    const answer = addressAnswerOf([at(1), at(2)], ({ incarnation }) => `k-${incarnation}`, 500);
    expect(answer.keyPrefix).toEqual('k-run-1');
    expect(answer.validUntil > 500).toEqual(true);
  });
});
