// Prints bytes, datagrams and staleness of the reports between the owners of one service, with
// version 3 of the datagrams and with version 4, as a Markdown table. Options: --quick, --seed=N.
import { encodeDatagram } from '../src/gateway/peers/datagram';
import { feedPositionOf } from '../src/model';

import { ReportFleet, type ReportFigures } from './messages/report-fleet';

const QUICK = process.argv.includes('--quick');
const seedOption = process.argv.find((arg) => arg.startsWith('--seed='));
const SEED = seedOption ? Number(seedOption.slice('--seed='.length)) : 1;
const SECONDS = QUICK ? 2 : 8;
const OWNER_COUNTS = [3, 20, 60];
const UPSTREAM_COUNTS = [50, 170];
const DATA_CENTRE_COUNTS = [2, 3, 5];
/** Requests a second at each upstream: 64,000 at 6,800 upstreams, and lower rates. */
const REQUEST_RATE = 9.4;
const LOW_REQUEST_RATES = [3, 1, 0.5];
const POSITIONS = [feedPositionOf(2, 1234), feedPositionOf(2, 56_789)] as const;

const kilobytes = (bytes: number): string => (bytes / 1000).toFixed(1);
const ages = ({ p50, p99 }: ReportFigures['beliefAge']): string =>
  `${Math.round(p50)} / ${Math.round(p99)}`;
const percent = (ratio: number): string => (100 * ratio).toFixed(2);

const printSizes = (): void => {
  console.log(
    '| upstreams in a datagram | bytes of version 3 | each | bytes of version 4 | each |',
  );
  console.log('| --- | --- | --- | --- | --- |');
  [1, 6, 12, 50, 110].forEach((count) => {
    const indices = Array.from({ length: count }, (_, i) => i);
    const sightings = indices.map((i) => ({
      id: `i-ddb0888${100 + i}`,
      born: 1_789_123_087_055,
      evidence: 'good',
      sentAgo: 212,
    }));
    const upstreams = indices.map((key) => ({ key, goodCount: 3, sentAgo: 210, inFlight: 2 }));
    const sizeOf = (topic: 'sightings' | 'reports', body: unknown, version: number): number =>
      encodeDatagram({ topic, body, positions: POSITIONS }, version).length;
    const old = sizeOf('sightings', { service: 'bookings', sightings }, 3);
    const compact = sizeOf('reports', { service: 1, sender: 2, upstreams }, 4);
    // Version 3 has at most twelve observations in a datagram.
    const oldCells = count <= 12 ? `${old} | ${(old / count).toFixed(1)}` : '- | -';
    console.log(`| ${count} | ${oldCells} | ${compact} | ${(compact / count).toFixed(1)} |`);
  });
};

const printRow = (
  owners: number,
  upstreams: number,
  dataCentres: number,
  requestRate: number,
): void => {
  const scenario = { owners, upstreams, dataCentres, requestRate, seed: SEED, seconds: SECONDS };
  const old = ReportFleet.run({ ...scenario, version: 3 });
  const compact = ReportFleet.run({ ...scenario, version: 4 });
  const both = (show: (figures: ReportFigures) => string): string =>
    `${show(old)} > ${show(compact)}`;
  const cells = [
    owners,
    upstreams,
    dataCentres,
    requestRate,
    both(({ farBytes }) => kilobytes(farBytes)),
    (compact.farBytes / old.farBytes).toFixed(3),
    both(({ farDatagrams }) => farDatagrams.toFixed(0)),
    both(({ nearBytes }) => kilobytes(nearBytes)),
    both(({ beliefAge }) => ages(beliefAge)),
    both(({ useLag }) => ages(useLag)),
    both(({ wronglyUnused }) => percent(wronglyUnused)),
  ];
  console.log(`| ${cells.join(' | ')} |`);
};

const main = (): void => {
  console.log(`Seed ${SEED}, ${SECONDS} s each. Version 3 > version 4.\n`);
  printSizes();
  console.log(
    '\n| owners | upstreams | data centres | requests/s at each upstream | kB/s of an owner to other data centres | ratio | datagrams/s there | kB/s in its own | age of beliefs, p50 / p99 ms | lag of the known use, p50 / p99 ms | wrongly unused, % |',
  );
  console.log(`|${' --- |'.repeat(11)}`);
  OWNER_COUNTS.forEach((owners) =>
    UPSTREAM_COUNTS.forEach((upstreams) =>
      DATA_CENTRE_COUNTS.filter((dataCentres) => dataCentres <= owners).forEach((dataCentres) =>
        printRow(owners, upstreams, dataCentres, REQUEST_RATE),
      ),
    ),
  );
  LOW_REQUEST_RATES.forEach((rate) => printRow(20, 170, 3, rate));
};

main();
