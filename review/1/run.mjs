/**
 * One spoilt answer ends a gateway. A client pipelines two safe requests; the answer to the second
 * one arrives first, with one wrong byte in its head. Other clients have requests in progress at
 * sound backends, on kept connections.
 */
import { answerOf, Backend } from '../lib/backend.mjs';
import { ClientConnection, requestOf } from '../lib/client.mjs';
import { BOUNDS } from '../lib/gateway.mjs';
import { pause } from '../lib/net.mjs';
import { configOf, HAS_TROUBLE, play, routeOf, Scene } from '../lib/scene.mjs';

const HOST = 'maps.example';
/** The disruption: one of three backends spoils one answer in fifty, for this time. */
const DISRUPTION_MS = 5500;
const ANSWERS_PER_SPOILT = 50;
const SPOILER_ID = 'overlay-1';
const BUYER_COUNT = 14;
/** Time between the first orders of two buyers, so that some are in progress at any moment. */
const BUYER_INTERVAL_MS = 23;
/** Times that a request takes at its backend, by path. */
const WORK_MS = { '/overlay/wide': 260, '/overlay/small': 20, '/orders/print': 290 };
const DEADLINE_MS = 4000;
/** LOST is broken by more than this number of requests. */
const MAX_LOST = 3;

let disruptionEndsAt = 0;
let answeredInDisruption = 0;
let isSpoilt = false;

play(async () => {
  const scene = new Scene(import.meta.dirname);
  await scene.startStore();

  /** Answers correctly, except that one byte in the head of the fiftieth answer may be wrong. */
  const respond = async (request, socket, backend) => {
    scene.note(`${backend.id} runs ${request.id} ${request.method} ${request.target}`);
    await pause(WORK_MS[request.target]);
    if (socket.destroyed) return;
    const answer = answerOf(request.id, `${backend.id} ${request.id}`);
    if (backend.id === SPOILER_ID && Date.now() < disruptionEndsAt) {
      answeredInDisruption += 1;
      const isDue = answeredInDisruption >= ANSWERS_PER_SPOILT && !isSpoilt;
      if (isDue && request.target === '/overlay/small') {
        isSpoilt = true;
        answer[answer.indexOf('sig.')] = 0x01;
        scene.note(`${backend.id} spoils a byte in the head of its answer to ${request.id}`);
      }
    }
    socket.write(answer);
  };
  const backendsOf = (service, count) =>
    Array.from(
      { length: count },
      (_, i) => new Backend({ id: `${service}-${i + 1}`, service, zone: 'loop-a', respond }),
    );
  const overlays = backendsOf('overlay', 3);
  const orders = backendsOf('orders', 3);
  await scene.startBackends([...overlays, ...orders]);
  scene.store.put(
    'keyed.op',
    'config',
    configOf(1, HOST, [
      routeOf('r-overlay', '/overlay/', 'safe', 'overlay'),
      routeOf('r-orders', '/orders/', 'unsafe', 'orders'),
    ]),
  );
  await scene.startGateways(['127.0.0.1'], { bounds: BOUNDS.tmd });
  const [gateway] = scene.gateways;
  // From here on the gateway is in touch: nothing is disrupted for stabilityWindowMs.
  await pause(3200);

  /** Requests of the buyers: id, how it ended, and whether the connection was kept. */
  const orderLog = [];
  let isOver = false;
  const buy = async (buyer) => {
    await pause(buyer * BUYER_INTERVAL_MS);
    const client = new ClientConnection(gateway.address, gateway.front);
    await client.connected;
    for (let i = 1; !isOver && !client.end; i++) {
      const id = `order-${buyer}-${i}`;
      const order = { id, isKept: i > 1, status: 0, isClosedByClient: false };
      orderLog.push(order);
      const count = client.answers.length;
      const sentAt = Date.now();
      scene.note(`client ${buyer} sends ${id} on a ${order.isKept ? 'kept' : 'new'} connection`);
      client.write(
        requestOf({
          id,
          host: HOST,
          path: '/orders/print',
          method: 'POST',
          body: `order of ${buyer}`,
          deadlineMs: DEADLINE_MS,
        }),
      );
      while (client.answers.length === count && !client.end && Date.now() - sentAt < DEADLINE_MS)
        await pause(5);
      const answer = client.answers[count];
      if (answer) order.status = answer.status;
      order.isClosedByClient = !answer && !client.end;
      scene.note(`${id}: ${answer ? answer.status : `connection ended (${client.end})`}`);
      await pause(20);
    }
    client.close();
  };
  /** A client that sends a second safe request before the first one has been answered. */
  const view = async (viewer) => {
    const client = new ClientConnection(gateway.address, gateway.front);
    await client.connected;
    for (let i = 1; !isOver && !client.end; i++) {
      const count = client.answers.length;
      client.write(
        ['wide', 'small']
          .map((size) =>
            requestOf({ id: `view-${viewer}-${i}-${size}`, host: HOST, path: `/overlay/${size}` }),
          )
          .join(''),
      );
      while (client.answers.length < count + 2 && !client.end) await pause(5);
    }
    client.close();
  };
  const buyers = Array.from({ length: BUYER_COUNT }, (_, i) => buy(i + 1));
  const viewers = Array.from({ length: 8 }, (_, i) => view(i + 1));
  await pause(1500);
  if (HAS_TROUBLE) {
    disruptionEndsAt = Date.now() + DISRUPTION_MS;
    scene.note(`disruption begins: ${SPOILER_ID} may spoil one answer in ${ANSWERS_PER_SPOILT}`);
  }
  const endsAt = Date.now() + DISRUPTION_MS + 1000;
  while (Date.now() < endsAt && !gateway.exit) await pause(20);
  if (gateway.exit) {
    scene.note(`the gateway ended by itself: code ${gateway.exit.code}`);
    scene.note(`its last words: ${/\w*Error \[[^\n]*/.exec(gateway.log.join(''))?.[0] ?? ''}`);
  }
  isOver = true;
  await Promise.all([...buyers, ...viewers]);

  const hasRun = (id) => orders.some(({ runs }) => runs.some((run) => run.id === id));
  const lost = orderLog.filter(
    ({ id, isKept, status, isClosedByClient }) =>
      isKept && status === 0 && !isClosedByClient && hasRun(id),
  );
  await scene.finish(
    lost.length > MAX_LOST,
    `LOST: ${lost.length} requests on kept connections were passed on to sound backends and their ` +
      `connections closed without an answer (at most ${MAX_LOST}); ${orderLog.length} sent; ` +
      `gateway ${gateway.exit ? 'ended by itself' : 'runs'}; ${answeredInDisruption} answers of ` +
      `${SPOILER_ID} in the disruption, ${isSpoilt ? 1 : 0} spoilt`,
  );
});
