// Compares rules for the choice of an upstream in virtual time: the rule before costs were learned
// (`today`), the present one (`learned`) and an oracle that knows each request's work and each
// upstream's queue. Arguments select scenarios by words in their names or by their number of hosts.
import { LARGE_FLEET_HOSTS, SCENARIOS, type Scenario } from './placement/scenario';
import { simulate, type Result, type Rule } from './placement/simulation';

const SEEDS = [1, 2, 3];
const RULES: readonly Rule[] = ['today', 'learned', 'oracle'];

const mean = (values: readonly number[]): number =>
  values.reduce((sum, value) => sum + value, 0) / values.length;

const measure = (scenario: Scenario, rule: Rule): Result => {
  const seeds = scenario.hosts >= LARGE_FLEET_HOSTS ? SEEDS.slice(0, 1) : SEEDS;
  const results = seeds.map((seed) => simulate(scenario, rule, seed));
  const meanOf = (value: (result: Result) => number): number => mean(results.map(value));
  return {
    lateRatio: meanOf(({ lateRatio }) => lateRatio),
    meanMs: meanOf(({ meanMs }) => meanMs),
    p99Ms: meanOf(({ p99Ms }) => p99Ms),
    decisionMicros: meanOf(({ decisionMicros }) => decisionMicros),
  };
};

const percent = (ratio: number): string => (100 * ratio).toFixed(2);
const cells = (results: readonly Result[], format: (result: Result) => string): string =>
  results.map(format).join(' / ');

const selectors = process.argv.slice(2);
const isSelected = ({ name, hosts }: Scenario): boolean =>
  selectors.every((selector) =>
    /^\d+$/.test(selector) ? Number(selector) === hosts : name.includes(selector),
  );

console.log(`Rules: ${RULES.join(' / ')}\n`);
console.log(
  '| pattern | hosts | upstreams | late or failed, % | mean, ms | p99, ms | decision, µs |',
);
console.log('| --- | --- | --- | --- | --- | --- | --- |');
SCENARIOS.filter(isSelected).forEach((scenario) => {
  const results = RULES.map((rule) => measure(scenario, rule));
  const columns = [
    scenario.name,
    scenario.hosts,
    scenario.upstreams,
    cells(results, ({ lateRatio }) => percent(lateRatio)),
    cells(results, ({ meanMs }) => meanMs.toFixed(0)),
    cells(results, ({ p99Ms }) => p99Ms.toFixed(0)),
    cells(results.slice(0, 2), ({ decisionMicros }) => decisionMicros.toFixed(1)),
  ];
  console.log(`| ${columns.join(' | ')} |`);
});
