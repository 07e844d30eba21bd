// Prints version-3 datagrams of this build, one line each as JSON of topic, body, positions and hex:
//   npx tsx scripts/record-datagrams.ts > test/gateway/fixtures/datagrams-3.jsonl
import { encodeDatagram, type Datagram } from '../src/gateway/peers/datagram';
import { feedPositionOf } from '../src/model';

const VERSION = 3;
const positions = [feedPositionOf(2, 1234), feedPositionOf(2, 56_789)] as const;
const BORN = 1_789_123_087_055;

const node = {
  incarnation: '0123456789ab',
  dataCentre: 'takoradi',
  address: '10.4.0.120',
  callerPort: 8641,
  peerPort: 7620,
  capacity: 300,
  datagramVersion: VERSION,
};
const from = { node, state: 'alive', refutation: 0 };
const peer = { address: '10.4.0.120', peerPort: 7620, datagramVersion: VERSION };

const bodies: readonly Pick<Datagram, 'topic' | 'body'>[] = [
  {
    topic: 'membership',
    body: { kind: 'ping', seq: 7, from, to: 'ba9876543210', digest: 9, updates: [from] },
  },
  { topic: 'membership', body: { kind: 'ack', seq: 7, from: 'ba9876543210', updates: [] } },
  {
    topic: 'sightings',
    body: {
      service: 'bookings',
      sightings: [
        { id: 'i-ddb0888910', born: BORN, evidence: 'good', sentAgo: 212 },
        { id: 'i-ddb0888911', born: BORN, evidence: 'failed-early', sentAgo: 3 },
        {
          id: 'i-ddb0888912',
          born: BORN,
          evidence: 'slow',
          sentAgo: 900,
          limit: { perSecond: 1.25, heardAgo: 250 },
        },
        {
          id: 'i-ddb0888913',
          born: BORN,
          evidence: 'failed-late',
          sentAgo: 4100,
          limit: { perSecond: null, heardAgo: 10 },
        },
      ],
    },
  },
  { topic: 'beliefs', body: { kind: 'wanted', service: 'bookings', from: peer } },
  {
    topic: 'beliefs',
    body: {
      kind: 'told',
      service: 'bookings',
      beliefs: [{ id: 'i-ddb0888910', born: BORN, ill: 0.125 }],
    },
  },
  { topic: 'crashes', body: { kind: 'wanted', from: peer } },
  {
    topic: 'crashes',
    body: {
      kind: 'told',
      requests: [
        {
          digest: '0123456789abcdef',
          crashes: [{ id: 'i-ddb0888910', born: BORN, ago: 1200 }],
          answeredAgo: 700,
        },
      ],
    },
  },
  { topic: 'paths', body: { incarnation: '0123456789ab', cut: true } },
];

bodies.forEach(({ topic, body }) => {
  const hex = encodeDatagram({ topic, body, positions }, VERSION).toString('hex');
  console.log(JSON.stringify({ topic, body, positions, hex }));
});
