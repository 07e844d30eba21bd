import type { Millis } from '../../src/model';

/** Results of one detector over all runs of one fault; latencies are in milliseconds. */
interface FaultSummary {
  /** Runs counted: those where the upstream got full work when the fault began. */
  readonly runs: number;
  /** Detection latency. */
  readonly p50: Millis;
  readonly p99: Millis;
  /** Time from the start of the fault to the ejection; Infinity where the median run has none. */
  readonly ejectionP50: Millis;
  /** Runs in which the fault ended undetected. */
  readonly missed: number;
  /** Mean share of its fair load that the faulty upstream got after detection. */
  readonly leak: number;
  /** Ejections of healthy upstreams in all runs. */
  readonly wrongEjections: number;
}

/** Results of the gateway's own detector and the baseline on one fault. */
export interface FaultRow {
  readonly deployment: string;
  readonly fault: string;
  readonly own: FaultSummary;
  readonly baseline: FaultSummary;
}

/** Results of one detector under one noise condition. */
interface NoiseSummary {
  /** Simulated time summed over the upstreams, in days. */
  readonly upstreamDays: number;
  /** Ejections of healthy upstreams. */
  readonly wrongEjections: number;
  /** Wrong ejections in each upstream-day. */
  readonly perDay: number;
  /** Mean share of time in which a healthy upstream was given less than all its slots. */
  readonly heldBack: number;
}

/** Results of all detectors under one noise condition. */
export interface NoiseRow {
  readonly deployment: string;
  readonly noise: string;
  readonly own: NoiseSummary;
  readonly baseline: NoiseSummary;
  /** The baseline, with sheds not counted as failures. */
  readonly noSheds: NoiseSummary;
}

const formatMillis = (value: Millis): string => (Number.isFinite(value) ? value.toFixed(0) : '-');

const formatPercent = (value: number): string => `${(value * 100).toFixed(2)}%`;

const tableRow = (cells: readonly string[]): string => `| ${cells.join(' | ')} |`;

const markdownTable = (head: readonly string[], rows: readonly (readonly string[])[]): string =>
  [tableRow(head), tableRow(head.map(() => '---')), ...rows.map(tableRow)].join('\n');

const faultCells = ({ deployment, fault, own, baseline }: FaultRow): readonly string[] => [
  deployment,
  fault,
  String(own.runs),
  formatMillis(own.p50),
  formatMillis(own.p99),
  String(own.missed),
  formatMillis(baseline.p50),
  formatMillis(baseline.p99),
  String(baseline.missed),
  (own.p99 / baseline.p99).toFixed(3),
  formatMillis(own.ejectionP50),
  formatPercent(own.leak),
  `${own.wrongEjections} / ${baseline.wrongEjections}`,
];

const noiseCells = ({ deployment, noise, own, baseline, noSheds }: NoiseRow): readonly string[] => [
  deployment,
  noise,
  own.upstreamDays.toFixed(2),
  `${own.wrongEjections} (${own.perDay.toFixed(1)})`,
  `${baseline.wrongEjections} (${baseline.perDay.toFixed(1)})`,
  `${noSheds.wrongEjections} (${noSheds.perDay.toFixed(1)})`,
  formatPercent(own.heldBack),
  formatPercent(baseline.heldBack),
];

/** Prints a Markdown table of the faults and one of the noise conditions. */
export const printReport = (faults: readonly FaultRow[], noises: readonly NoiseRow[]): void => {
  const faultHead = [
    'deployment',
    'fault',
    'runs',
    'p50 ms',
    'p99 ms',
    'missed',
    'baseline p50 ms',
    'baseline p99 ms',
    'baseline missed',
    'p99 ratio',
    'ejected p50 ms',
    'work leaked',
    'wrong ejections, own / baseline',
  ];
  const noiseHead = [
    'deployment',
    'noise',
    'upstream-days',
    'wrong ejections (per upstream-day)',
    'baseline',
    'baseline, sheds not counted',
    'held back',
    'baseline held back',
  ];
  console.log(markdownTable(faultHead, faults.map(faultCells)));
  console.log(`\n${markdownTable(noiseHead, noises.map(noiseCells))}`);
};
