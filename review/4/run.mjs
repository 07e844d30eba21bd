/**
 * Gateways act on an old configuration after a series of changes. The configuration has grown to
 * 1,400 routes; the operator then writes 25 versions in a second and a half, the last of which
 * moves a route to another service. Nothing is disrupted.
 */
import { Buffer } from 'node:buffer';
import { answerOf, Backend } from '../lib/backend.mjs';
import { ClientConnection, requestOf } from '../lib/client.mjs';
import { BOUNDS } from '../lib/gateway.mjs';
import { pause } from '../lib/net.mjs';
import { configOf, HAS_TROUBLE, play, routeOf, Scene } from '../lib/scene.mjs';

const HOST = 'wakala.example';
/** Six gateways, two in each of three zones. */
const ADDRESSES = [1, 2, 3, 4, 5, 6].map((i) => `127.0.0.${i}`);
const ZONES = ['loop-a', 'loop-b', 'loop-c'];
const { configApplyMs, stabilityWindowMs } = BOUNDS.wakala;
/** The series of changes: routes added before it, time between two changes and its length. */
const ADDED_ROUTE_COUNT = 1400;
const CHANGE_INTERVAL_MS = 60;
const SERIES_MS = 1500;
const FIRST_IDLE_TIMEOUT_MS = 15_000;
const WORK_MS = 40;
const SEND_INTERVAL_MS = 100;
const DEADLINE_MS = 3000;
const OBSERVED_MS = 9000;

/** Returns the configuration of a version in which revocations go to `service`. */
const versionOf = (version, service, addedRoutes, idleTimeoutMs) => {
  const config = configOf(version, HOST, [
    routeOf('r-revocation', '/revocation/', 'unsafe', service, { targetLatencyMs: 1240 }),
    routeOf('r-grant', '/grant/', 'unsafe', 'filing', { targetLatencyMs: 836 }),
    routeOf('r-status', '/status/', 'safe', 'lookup', { targetLatencyMs: 1235 }),
    ...addedRoutes,
  ]);
  return { ...config, limits: { ...config.limits, idleTimeoutMs } };
};

play(async () => {
  const scene = new Scene(import.meta.dirname);
  await scene.startStore();
  const respond = async ({ id }, socket, backend) => {
    scene.note(`${backend.id} runs ${id}`);
    await pause(WORK_MS);
    if (!socket.destroyed) socket.write(answerOf(id, `${backend.id} ${id}`));
  };
  const backendsOf = (service) =>
    [1, 2, 3].map((i) => new Backend({ id: `${service}-${i}`, service, zone: 'loop-a', respond }));
  const lookup = backendsOf('lookup');
  const filing = backendsOf('filing');
  await scene.startBackends([...lookup, ...filing]);
  let version = 1;
  const write = (service, addedRoutes, idleTimeoutMs = FIRST_IDLE_TIMEOUT_MS) => {
    const config = versionOf(version, service, addedRoutes, idleTimeoutMs);
    scene.store.put('keyed.op', 'config', config);
    scene.note(`the store acknowledges version ${config.version}, ${service} for revocations`);
    version += 3;
    return Buffer.byteLength(JSON.stringify(config));
  };
  write('lookup', []);
  await scene.startGateways(ADDRESSES, { bounds: BOUNDS.wakala, zones: ZONES });
  await pause(stabilityWindowMs);
  const addedRoutes = Array.from({ length: ADDED_ROUTE_COUNT }, (_, i) =>
    routeOf(`r-${String(i).padStart(7, '0')}`, `/leny${i}/ny${i % 97}/`, 'safe', 'lookup'),
  );
  const bytes = write('lookup', addedRoutes);
  scene.note(`the configuration has ${bytes} bytes`);
  await pause(2 * configApplyMs);

  const requests = new Map();
  let isOver = false;
  const sendOne = async (gateway, id) => {
    const client = new ClientConnection(gateway.address, gateway.front);
    await client.connected;
    requests.set(id, { sentAt: Date.now(), gateway: gateway.options.name });
    const path = '/revocation/record';
    client.write(
      requestOf({ id, host: HOST, path, method: 'POST', body: id, deadlineMs: DEADLINE_MS }),
    );
    const deadline = Date.now() + DEADLINE_MS;
    while (client.answers.length === 0 && !client.end && Date.now() < deadline) await pause(10);
    scene.note(`${id} to ${gateway.options.name}: ${client.answers[0]?.status ?? 'no answer'}`);
    client.close();
  };
  const send = async (gateway) => {
    const sent = [];
    for (let i = 1; !isOver; i++) {
      sent.push(sendOne(gateway, `${gateway.options.name}-${i}`));
      await pause(SEND_INTERVAL_MS);
    }
    await Promise.all(sent);
  };
  const clients = scene.gateways.map(send);
  await pause(1000);

  const changeCount = HAS_TROUBLE ? SERIES_MS / CHANGE_INTERVAL_MS : 1;
  for (let i = 1; i < changeCount; i++) {
    write('lookup', addedRoutes, FIRST_IDLE_TIMEOUT_MS - 100 * i);
    await pause(CHANGE_INTERVAL_MS);
  }
  write('filing', addedRoutes);
  const acknowledgedAt = Date.now();
  await pause(OBSERVED_MS);
  isOver = true;
  await Promise.all(clients);

  const late = lookup
    .flatMap(({ runs }) => runs)
    .map(({ id }) => ({ id, ...requests.get(id) }))
    .filter(({ sentAt }) => sentAt > acknowledgedAt + configApplyMs);
  late.forEach(({ id, gateway, sentAt }) =>
    scene.note(
      `late: ${id}, sent to ${gateway} ${sentAt - acknowledgedAt} ms after the last acknowledgement, ` +
        'was run by the old service',
    ),
  );
  const latest = Math.max(0, ...late.map(({ sentAt }) => sentAt - acknowledgedAt));
  await scene.finish(
    late.length > 0,
    `CONFIG: ${late.length} requests that were sent later than ${configApplyMs} ms after the ` +
      `acknowledgement of the last version were run by the old service, the latest ${latest} ms ` +
      `after it; ${changeCount} versions of ${bytes} bytes; ${requests.size} requests sent`,
  );
});
