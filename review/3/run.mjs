/**
 * Gateways go on with an old list of backends. All connections to the store go silent, as behind a
 * firewall that has dropped their state; new ones work. Seconds later a backend reports that it
 * drains.
 */
import { answerOf, Backend } from '../lib/backend.mjs';
import { ClientConnection, requestOf } from '../lib/client.mjs';
import { BOUNDS } from '../lib/gateway.mjs';
import { Link } from '../lib/link.mjs';
import { pause } from '../lib/net.mjs';
import { configOf, HAS_TROUBLE, play, routeOf, Scene } from '../lib/scene.mjs';

const HOST = 'seats.example';
/** Two gateways, in two zones. */
const ADDRESSES = ['127.0.0.1', '127.0.0.2'];
const ZONES = ['loop-a', 'loop-b'];
const BACKEND_COUNT = 8;
const { drainMs, stabilityWindowMs } = BOUNDS.asl;
const WORK_MS = 470;
const DEADLINE_MS = 5000;
/** Time between two requests to one gateway. */
const SEND_INTERVAL_MS = 60;
/** Time for which the backend serves on after `drainMs`, before it exits. */
const SERVES_ON_MS = 2000;
const OBSERVED_MS = 3500;
/** Number of times that the connections go silent and a backend leaves, at most. */
const MAX_ROUND_COUNT = 3;

play(async () => {
  const scene = new Scene(import.meta.dirname);
  await scene.startStore();
  const respond = async ({ id }, socket, backend) => {
    scene.note(`${backend.id} runs ${id}`);
    await pause(WORK_MS);
    if (!socket.destroyed) socket.write(answerOf(id, `${backend.id} ${id}`));
  };
  const backends = Array.from(
    { length: BACKEND_COUNT },
    (_, i) =>
      new Backend({ id: `bookings-${i + 1}`, service: 'bookings', zone: 'loop-a', respond }),
  );
  await scene.startBackends(backends);
  scene.store.put(
    'keyed.op',
    'config',
    configOf(1, HOST, [routeOf('r-bookings', '/bookings/', 'unsafe', 'bookings')]),
  );
  const link = new Link(scene.store);
  await link.start('127.0.0.1');
  await scene.startGateways(ADDRESSES, { store: link, zones: ZONES });
  await pause(stabilityWindowMs + 1000);

  const requests = new Map();
  let isOver = false;
  const sendOne = async (gateway, id) => {
    const client = new ClientConnection(gateway.address, gateway.front);
    await client.connected;
    requests.set(id, { sentAt: Date.now(), gateway: gateway.options.name, status: 0 });
    scene.note(`client sends ${id} to ${gateway.options.name}`);
    client.write(
      requestOf({
        id,
        host: HOST,
        path: '/bookings/confirm',
        method: 'POST',
        body: `seat ${id}`,
        deadlineMs: DEADLINE_MS,
      }),
    );
    const deadline = Date.now() + DEADLINE_MS;
    while (client.answers.length === 0 && !client.end && Date.now() < deadline) await pause(10);
    requests.get(id).status = client.answers[0]?.status ?? 0;
    scene.note(`${id}: ${requests.get(id).status}`);
    client.close();
  };
  /** Sends requests to a gateway at an even rate. */
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

  /** Silences the connections to the store, has a backend leave, and returns its late requests. */
  const leave = async (leaving) => {
    if (HAS_TROUBLE) scene.note(`${link.silence()} open connections to the store go silent`);
    // The disruption counts as a reset of the connections of all machines, which are in touch again
    // after stabilityWindowMs.
    await pause(stabilityWindowMs + 200);
    leaving.register(scene.store, 'draining');
    const acknowledgedAt = Date.now();
    scene.note(`${leaving.id} reports draining; the store acknowledges it`);
    await pause(drainMs + SERVES_ON_MS);
    scene.note(`${leaving.id} exits, ${drainMs + SERVES_ON_MS} ms after its report`);
    leaving.crash();
    scene.store.put('keyed.servers', leaving.id);
    await pause(OBSERVED_MS);
    return { leaving, acknowledgedAt };
  };
  const isLate = ({ id }, acknowledgedAt) =>
    (requests.get(id)?.sentAt ?? 0) > acknowledgedAt + drainMs;
  const late = [];
  const leaves = [];
  for (const leaving of backends.slice(0, MAX_ROUND_COUNT)) {
    const { acknowledgedAt } = await leave(leaving);
    leaves.push(acknowledgedAt);
    late.push(
      ...leaving.runs
        .filter((run) => isLate(run, acknowledgedAt))
        .map((run) => ({ ...run, leaving, acknowledgedAt })),
    );
    if (late.length > 0) break;
  }
  isOver = true;
  await Promise.all(clients);

  const lost = late.filter(({ id }) => requests.get(id).status !== 200);
  late.forEach(({ id, at, leaving, acknowledgedAt }) => {
    const { sentAt, gateway, status } = requests.get(id);
    scene.note(
      `late: ${id}, sent to ${gateway} ${sentAt - acknowledgedAt} ms after the acknowledgement, ` +
        `reached ${leaving.id} after ${at - acknowledgedAt} ms; answered ${status}`,
    );
  });
  scene.gateways.forEach(({ log, options }) => {
    const events = /"time":(\d+),"event":"(feed-lost|feed-regained)","feed":"(\w+)"/g;
    [...log.join('').matchAll(events)].forEach(([, time, event, feed]) =>
      scene.note(
        `${options.name}: ${event} ${feed}, ${time - leaves.at(-1)} ms after the last acknowledgement`,
      ),
    );
  });
  await scene.finish(
    late.length > 0,
    `DRAIN: ${late.length} requests that clients sent later than ${drainMs} ms after the ` +
      `acknowledgement reached the draining backend; ${lost.length} of them were not served; ` +
      `${requests.size} requests sent, ${leaves.length} backends left`,
  );
});
