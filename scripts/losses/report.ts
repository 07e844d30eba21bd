import type { LogEvent } from './log';
import type { Loss, LossCause } from './causes';

const CAUSES: readonly LossCause[] = [
  'known-faulty',
  'never-seen',
  'turned',
  'own-failure',
  'retry-budget',
  'no-room',
  'no-answer',
  'late',
  'other',
];

/** Failures that a detector with all hosts' observations, without delay, would have avoided. */
const AVOIDABLE: ReadonlySet<LossCause> = new Set(['known-faulty']);
/** Failures that nothing shows beforehand. */
const UNFORESEEN: ReadonlySet<LossCause> = new Set(['own-failure', 'turned', 'never-seen']);

const WORST_SECOND_COUNT = 5;

const percent = (part: number, whole: number): string =>
  `${((100 * part) / Math.max(1, whole)).toFixed(2)} %`;

const countBy = <T>(items: readonly T[], key: (item: T) => string): ReadonlyMap<string, number> =>
  items.reduce(
    (counts, item) => counts.set(key(item), (counts.get(key(item)) ?? 0) + 1),
    new Map<string, number>(),
  );

const row = (cells: readonly (string | number)[]): string => `| ${cells.join(' | ')} |`;

const table = (head: readonly string[], rows: readonly (readonly (string | number)[])[]): string =>
  [row(head), row(head.map(() => '---')), ...rows.map(row)].join('\n');

/** Returns the number of requests that ended, those that the log counts only in sum included. */
export const countRequests = (events: readonly LogEvent[]): number =>
  events.reduce((sum, { name, fields }) => {
    if (name === 'request') return sum + 1;
    return name === 'served-left-out' && typeof fields.requests === 'number'
      ? sum + fields.requests
      : sum;
  }, 0);

/** Returns the losses as Markdown: by cause and service, by placement, and the worst seconds. */
export const lossReport = (losses: readonly Loss[], requestCount: number): string => {
  const services = [...new Set(losses.map(({ service }) => service))].sort();
  const byCause = CAUSES.map((cause) => {
    const ofCause = losses.filter((loss) => loss.cause === cause);
    const once = ofCause.filter(({ idempotent }) => !idempotent).length;
    const perService = services.map((name) => ofCause.filter((l) => l.service === name).length);
    return [cause, ofCause.length, percent(ofCause.length, requestCount), once, ...perService];
  });
  const placements = [...countBy(losses, (l) => `${l.placed || 'none'}, ${l.cause}`)]
    .sort(([, a], [, b]) => b - a)
    .map(([what, count]) => [...what.split(', '), count]);
  const seconds = [...countBy(losses, ({ second }) => String(second))]
    .sort(([, a], [, b]) => b - a)
    .slice(0, WORST_SECOND_COUNT)
    .map(([second, count]) => {
      const causes = countBy(
        losses.filter((loss) => String(loss.second) === second),
        ({ cause }) => cause,
      );
      return [second, count, [...causes].map(([cause, n]) => `${cause} ${n}`).join(', ')];
    });
  const sum = (causes: ReadonlySet<LossCause>): number =>
    losses.filter(({ cause }) => causes.has(cause)).length;
  return [
    `${requestCount} requests, ${losses.length} not served within their objective`,
    table(['cause', 'requests', 'share', 'not repeatable', ...services], byCause),
    `avoided by a detector with all hosts' observations and no delay: ${sum(AVOIDABLE)} (${percent(sum(AVOIDABLE), requestCount)})`,
    `shown by nothing beforehand: ${sum(UNFORESEEN)} (${percent(sum(UNFORESEEN), requestCount)})`,
    table(['placed', 'cause', 'requests'], placements),
    table(['second', 'requests', 'causes'], seconds),
  ].join('\n\n');
};
