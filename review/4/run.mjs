/**
 * One answer without a length breaks off the requests behind it. Clients pipeline safe requests;
 * one backend of three gives one answer in fifty without a length, and the gateway closes the
 * client's connection behind it, with the later requests already passed on to sound backends.
 */
import { setTimeout } from 'node:timers';
import { answerOf, Backend } from '../lib/backend.mjs';
import { ClientConnection, requestOf } from '../lib/client.mjs';
import { BOUNDS } from '../lib/gateway.mjs';
import { pause } from '../lib/net.mjs';
import { configOf, HAS_TROUBLE, play, routeOf, Scene } from '../lib/scene.mjs';

const HOST = 'maps.example';
const DISRUPTION_MS = 5500;
const ANSWERS_PER_UNFRAMED = 50;
const FAULTY_ID = 'overlay-1';
const VIEWER_COUNT = 4;
/** Requests that a client sends before the first one has been answered. */
const PIPELINE_LENGTH = 6;
/** Times that a request takes at its backend: the first ones of a pipeline are the small ones. */
const WORK_MS = { '/overlay/small': 20, '/overlay/wide': 160 };
const DEADLINE_MS = 2500;
/** LOST is broken by more than this number of requests. */
const MAX_LOST = 3;

let disruptionEndsAt = 0;
let answeredInDisruption = 0;
let unframedCount = 0;

play(async () => {
  const scene = new Scene(import.meta.dirname);
  await scene.startStore();
  const respond = (request, socket, backend) => {
    scene.note(`${backend.id} runs ${request.id}`);
    setTimeout(() => {
      if (socket.destroyed) return;
      const answer = answerOf(request.id, `${backend.id} ${request.id}`);
      if (backend.id === FAULTY_ID && Date.now() < disruptionEndsAt) {
        answeredInDisruption += 1;
        const isDue = answeredInDisruption >= ANSWERS_PER_UNFRAMED * (unframedCount + 1);
        if (isDue && request.target === '/overlay/small') {
          unframedCount += 1;
          scene.note(`${backend.id} answers ${request.id} without a length, and closes`);
          socket.end(answer.toString('latin1').replace(/Content-Length.*\r\n/, ''));
          return;
        }
      }
      socket.write(answer);
    }, WORK_MS[request.target]);
  };
  const backends = Array.from(
    { length: 3 },
    (_, i) => new Backend({ id: `overlay-${i + 1}`, service: 'overlay', zone: 'loop-a', respond }),
  );
  await scene.startBackends(backends);
  scene.store.put(
    'keyed.op',
    'config',
    configOf(1, HOST, [routeOf('r-overlay', '/overlay/', 'safe', 'overlay', { maxAttempts: 1 })]),
  );
  await scene.startGateways(['127.0.0.1'], { bounds: BOUNDS.tmd });
  const [gateway] = scene.gateways;
  await pause(BOUNDS.tmd.stabilityWindowMs + 200);

  const requests = [];
  let isOver = false;
  /** Pipelines requests on a kept connection, and makes a new one after it has been closed. */
  const view = async (viewer) => {
    for (let connection = 1; !isOver; connection++) {
      const client = new ClientConnection(gateway.address, gateway.front);
      await client.connected;
      for (let round = 1; !isOver && !client.end; round++) {
        const count = client.answers.length;
        const sent = Array.from({ length: PIPELINE_LENGTH }, (_, i) => ({
          id: `view-${viewer}-${connection}-${round}-${i + 1}`,
          path: i === 0 ? '/overlay/small' : '/overlay/wide',
          isKept: round > 1,
          isAnswered: false,
          isClosedByClient: false,
        }));
        requests.push(...sent);
        scene.note(
          `client ${viewer} sends ${sent[0].id} to -${PIPELINE_LENGTH} on a ${round > 1 ? 'kept' : 'new'} connection`,
        );
        const startedAt = Date.now();
        client.write(
          sent
            .map(({ id, path }) => requestOf({ id, host: HOST, path, deadlineMs: DEADLINE_MS }))
            .join(''),
        );
        const isWaiting = () =>
          client.answers.length < count + PIPELINE_LENGTH &&
          !client.end &&
          Date.now() - startedAt < DEADLINE_MS;
        while (isWaiting()) await pause(5);
        const answered = client.answers.length - count;
        sent.forEach((request, i) =>
          Object.assign(request, { isAnswered: i < answered, isClosedByClient: !client.end }),
        );
        scene.note(
          `client ${viewer}: ${answered} of ${PIPELINE_LENGTH} answers to ${sent[0].id} and those ` +
            `behind it, the last one ended by its ${client.answers.at(-1)?.framedBy}; ` +
            `connection ${client.end ?? 'open'}`,
        );
        if (answered < PIPELINE_LENGTH) break;
      }
      client.close();
    }
  };
  const viewers = Array.from({ length: VIEWER_COUNT }, (_, i) => view(i + 1));
  await pause(1000);
  if (HAS_TROUBLE) {
    disruptionEndsAt = Date.now() + DISRUPTION_MS;
    scene.note(
      `disruption begins: ${FAULTY_ID} may answer one in ${ANSWERS_PER_UNFRAMED} without a length`,
    );
  }
  await pause(DISRUPTION_MS + 500);
  isOver = true;
  await Promise.all(viewers);

  const runsOnSound = new Set(
    backends.filter(({ id }) => id !== FAULTY_ID).flatMap(({ runs }) => runs.map(({ id }) => id)),
  );
  const lost = requests.filter(
    ({ id, isKept, isAnswered, isClosedByClient }) =>
      isKept && !isAnswered && !isClosedByClient && runsOnSound.has(id),
  );
  lost.forEach(({ id }) => scene.note(`lost: ${id}`));
  await scene.finish(
    lost.length > MAX_LOST,
    `LOST: ${lost.length} requests on kept connections were passed on to sound backends and their ` +
      `connections closed without an answer (at most ${MAX_LOST}); ${requests.length} sent; ` +
      `${answeredInDisruption} answers of ${FAULTY_ID} in the disruption, ${unframedCount} without a length`,
  );
});
