import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

import type { LinkMode } from '../../../standins/fault-proxy';
import type { StoreFaultMode, UpstreamFaultMode } from '../../../standins/platform';

/** One thing that goes wrong, or is changed, while callers send requests. */
export type Fault =
  /** A signal to a gateway's process; killed and stopped ones are started again afterwards. */
  | { readonly kind: 'kill' | 'stop' | 'pause' | 'reload'; readonly gateway: number }
  | { readonly kind: 'store'; readonly mood: StoreFaultMode }
  /** The link between one gateway and the store. */
  | { readonly kind: 'store-link'; readonly gateway: number; readonly link: LinkFault }
  | { readonly kind: 'upstream'; readonly upstream: number; readonly mood: UpstreamFaultMode }
  | { readonly kind: 'upstream-link'; readonly upstream: number; readonly link: LinkFault }
  /** It drains, its entry goes, and it comes back as another run under its id. */
  | { readonly kind: 'departure'; readonly upstream: number }
  /** All entries go while the store is away, and come back soon after it. */
  | { readonly kind: 'lapse' }
  /** A new version, or the record of the one before it once more. */
  | { readonly kind: 'config' | 'old-config' }
  | { readonly kind: 'compaction' };

/** What happens to a link, in milliseconds where it is delayed. */
export type LinkFault =
  | { readonly up: LinkMode }
  | { readonly down: LinkMode }
  | { readonly up: LinkMode; readonly down: LinkMode }
  | { readonly reset: true };

/** A fault, when it begins, and how long it lasts, in milliseconds from the start. */
export interface Entry {
  readonly at: number;
  readonly lasts: number;
  readonly fault: Fault;
}

export interface Sizes {
  readonly gateways: number;
  readonly upstreams: number;
}

const STORE_MOODS: readonly StoreFaultMode[] = ['busy', 'silent', 'reset', 'cut-short'];
const UPSTREAM_MOODS: readonly UpstreamFaultMode[] = [
  'fails',
  'sheds',
  'hangs',
  'resets',
  'truncates',
  'extra',
  'late-extra',
  'foreign-first',
  'unframed',
  'not-http',
  'unsigned',
  'wrong-chunk',
  'drops-idle',
];
const KINDS: readonly Fault['kind'][] = [
  'kill',
  'stop',
  'pause',
  'reload',
  'store',
  'store-link',
  'upstream',
  'upstream',
  'upstream-link',
  'departure',
  'lapse',
  'config',
  'old-config',
  'compaction',
];
/** Faults under which news from the store may be late. */
const DELAYS_NEWS: ReadonlySet<Fault['kind']> = new Set([
  'store',
  'store-link',
  'lapse',
  'pause',
  'compaction',
]);
/** One seed in so many has none of them, so that bounds on news can be checked. */
const PROMPT_NEWS_EVERY = 3;
const SHORTEST = 200;
const LONGEST = 3000;
/** Mean time between faults; they overlap. */
const GAP = 500;

/** Whether nothing in a seed's schedule delays news from the store. */
export const hasPromptNews = (seed: number): boolean => seed % PROMPT_NEWS_EVERY === 0;

/** The faults of one seed, in order of time. */
export const drawSchedule = (seed: number, millis: number, sizes: Sizes): readonly Entry[] => {
  const rng = xoroshiro128plus(seed);
  const upTo = (most: number): number => uniformInt(rng, 0, most);
  const pick = <T>(list: readonly T[]): T => {
    const item = list[upTo(list.length - 1)];
    if (item === undefined) throw new Error('nothing to pick from');
    return item;
  };
  const drawLink = (): LinkFault =>
    pick<() => LinkFault>([
      () => ({ up: 'drop' }),
      () => ({ down: 'drop' }),
      () => ({ up: 'drop', down: 'drop' }),
      () => ({ down: 'freeze' }),
      () => ({ up: { delayMs: 20 + upTo(280) } }),
      () => ({ reset: true }),
    ])();
  const drawFault = (kind: Fault['kind']): Fault => {
    const gateway = upTo(sizes.gateways - 1);
    const upstream = upTo(sizes.upstreams - 1);
    switch (kind) {
      case 'kill':
      case 'stop':
      case 'pause':
      case 'reload':
        return { kind, gateway };
      case 'store':
        return { kind, mood: pick(STORE_MOODS) };
      case 'store-link':
        return { kind, gateway, link: drawLink() };
      case 'upstream':
        return { kind, upstream, mood: pick(UPSTREAM_MOODS) };
      case 'upstream-link':
        return { kind, upstream, link: drawLink() };
      case 'departure':
        return { kind, upstream };
      case 'lapse':
      case 'config':
      case 'old-config':
      case 'compaction':
        return { kind };
    }
  };
  const kinds = hasPromptNews(seed) ? KINDS.filter((kind) => !DELAYS_NEWS.has(kind)) : KINDS;
  const entries: Entry[] = [];
  for (let at = upTo(GAP); at < millis; at += upTo(2 * GAP)) {
    entries.push({ at, lasts: SHORTEST + upTo(LONGEST - SHORTEST), fault: drawFault(pick(kinds)) });
  }
  return entries;
};
