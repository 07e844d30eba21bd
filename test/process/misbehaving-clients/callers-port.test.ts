import { afterEach, describe, it } from 'node:test';

import { BusyGateways } from '../busy-gateways';

import { expectSound, startSmallHost } from './host';
import { playCrowd, type Crowd, type Reading } from './senders-ahead';

const CLIENT_COUNT = 20;
const HOST = 'Host: shop.example\r\n';
const ID = 'X-Redwingmount-Request-Id: a\r\n';
const DEADLINE = 'X-Redwingmount-Deadline-Ms: 4000\r\n';
const KNOWN = `${HOST}${ID}${DEADLINE}`;
const READINESS_PATH = '/redwingmount/ready';

const get = (path: string, headers: string, version = '1.1'): string =>
  `GET ${path} HTTP/${version}\r\n${headers}\r\n`;

/** What clients send ahead, by its form. */
const FORMS: Readonly<Record<string, string>> = {
  'without the usual headers': get('/none/x', HOST),
  'without an id': get('/none/x', HOST + DEADLINE),
  'without a deadline': get('/none/x', HOST + ID),
  'with a deadline that has passed': get(
    '/read/x',
    `${HOST}${ID}X-Redwingmount-Deadline-Ms: 0\r\n`,
  ),
  'with a deadline that is no number': get(
    '/read/x',
    `${HOST}${ID}X-Redwingmount-Deadline-Ms: soon\r\n`,
  ),
  'of HTTP/1.0 on a kept connection': get('/none/x', `${KNOWN}Connection: keep-alive\r\n`, '1.0'),
  'at the readiness path': get(READINESS_PATH, KNOWN),
  'at a path that no route has': get('/none/x', KNOWN),
  'at a path that no route has, with an id each': Array.from({ length: 600 }, (_, n) =>
    get('/none/x', `${HOST}X-Redwingmount-Request-Id: n-${n}\r\n${DEADLINE}`),
  ).join(''),
  'for a host that no route has': get('/read/x', `Host: other.example\r\n${ID}${DEADLINE}`),
  'with a body in one chunk': `POST /none/x HTTP/1.1\r\n${KNOWN}Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n`,
  'that are sound and safe': get('/read/x', KNOWN),
  'that are sound and unsafe': `POST /orders/x HTTP/1.1\r\n${KNOWN}Content-Length: 1\r\n\r\nx`,
  'with an expectation that is unknown': get('/read/x', `${KNOWN}Expect: more\r\n`),
  'with long paths': get(`/none/${'x'.repeat(4000)}`, KNOWN),
  'with many headers': get(
    '/none/x',
    KNOWN + Array.from({ length: 400 }, (_, n) => `H${n}: ${n}\r\n`).join(''),
  ),
  'without a host': get('/none/x', ''),
  'that ask for a tunnel': `CONNECT shop.example:1 HTTP/1.1\r\n${KNOWN}\r\n`,
  'that ask for an upgrade': get('/none/x', `${KNOWN}Connection: upgrade\r\nUpgrade: other\r\n`),
  'of nothing but line ends': '\r\n',
};

/** Guards against a process that ends by requests that clients send ahead, and all others with it. */
describe('requests sent ahead to the port for callers end no gateway', () => {
  let busy: BusyGateways;
  afterEach(() => busy.close());

  const play = async (
    text: Crowd['text'],
    reading: Reading = 'never',
    clientCount = CLIENT_COUNT,
  ): Promise<void> => {
    busy = await startSmallHost();
    await expectSound(busy, await playCrowd(busy, { port: 'callers', clientCount, text, reading }));
  };

  Object.entries(FORMS).forEach(([form, text]) => {
    it(form, () => play(() => text));
  });

  it('of all forms on each connection', () => play(() => Object.values(FORMS).join('')));

  it('of one form a client', () => {
    const forms = Object.values(FORMS);
    return play((client) => forms[client % forms.length] ?? '');
  });

  const unrouted = FORMS['at a path that no route has'] ?? '';
  it('by clients that read all answers', () => play(() => unrouted, 'at-once', 50));
  it('by clients that read slowly', () => play(() => unrouted, 'slowly', 100));
  it('by clients that half-close', () => play(() => unrouted, 'half-close', 50));
});
