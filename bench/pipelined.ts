// Measures small pipelined requests through one gateway:
//   npm run bench:pipelined
import net from 'node:net';

import { build } from 'hdr-histogram-js';

import { GatewayHarness, routeOf } from '../test/gateway/harness';

const CONNECTION_COUNT = 4;
/** Number of requests that a caller sends ahead. */
const BATCH_SIZE = 16;
const WARM_UP_MS = 2000;
const DURATION_MS = 6000;
const DEADLINE_MS = 5000;
const MICROS_PER_MILLI = 1000;
const MILLIS_PER_SECOND = 1000;
const FINAL_PERCENTILE = 99;

const ANSWER = /HTTP\/1\.1 (\d+)/g;

const harness = await GatewayHarness.start(2, [
  routeOf('/safe/', 'safe'),
  routeOf('/orders/', 'unsafe'),
]);

let requestCount = 0;
const batchText = (): string =>
  Array.from({ length: BATCH_SIZE }, (_, i) => {
    requestCount += 1;
    const line = i % 2 === 0 ? 'GET /safe/x' : 'POST /orders/x';
    return `${line} HTTP/1.1\r\nHost: shop.example\r\nX-Redwingmount-Request-Id: b${requestCount}\r\nX-Redwingmount-Deadline-Ms: ${DEADLINE_MS}\r\nContent-Length: 0\r\n\r\n`;
  }).join('');

/** Sends one batch after the other until `until`; calls `onBatch` with the statuses of each. */
const send = (
  until: number,
  onBatch: (tookMs: number, statuses: string[]) => void,
): Promise<void> =>
  new Promise((resolve, reject) => {
    const socket = net.connect(harness.ports.callers, '127.0.0.1');
    let text = '';
    let sentAt = 0;
    const next = (): void => {
      text = '';
      sentAt = performance.now();
      if (sentAt > until) {
        socket.destroy();
        resolve();
      } else socket.write(batchText());
    };
    socket.on('connect', next);
    socket.on('error', reject);
    socket.on('data', (chunk) => {
      text += chunk.toString('latin1');
      const statuses = [...text.matchAll(ANSWER)].map(([, status]) => status!);
      if (statuses.length < BATCH_SIZE) return;
      onBatch(performance.now() - sentAt, statuses);
      next();
    });
  });

const sendAll = (millis: number, onBatch: Parameters<typeof send>[1]): Promise<unknown> =>
  Promise.all(
    Array.from({ length: CONNECTION_COUNT }, () => send(performance.now() + millis, onBatch)),
  );

harness.upstreams.forEach((upstream) => Object.assign(upstream, { work: 1 }));
await sendAll(WARM_UP_MS, () => {});
const histogram = build();
let answered = 0;
let served = 0;
const cpuBefore = process.cpuUsage();
await sendAll(DURATION_MS, (tookMs, statuses) => {
  histogram.recordValue(Math.round(tookMs * MICROS_PER_MILLI));
  answered += statuses.length;
  served += statuses.filter((status) => status === '200').length;
});
const cpu = process.cpuUsage(cpuBefore);
const percentile = (at: number): string =>
  (histogram.getValueAtPercentile(at) / MICROS_PER_MILLI).toFixed(1);
console.log(
  `${Math.round((answered * MILLIS_PER_SECOND) / DURATION_MS)} requests a second, ${served} of ${answered} served; ` +
    `batches of ${BATCH_SIZE}: p50 ${percentile(50)} ms, p99 ${percentile(FINAL_PERCENTILE)} ms; ` +
    `${Math.round((cpu.user + cpu.system) / answered)} µs of processor time a request, callers and upstreams included`,
);
await harness.close();
