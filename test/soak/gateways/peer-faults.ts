/** Faults of peers that send without end, in small pieces, or keep a gateway holding their bytes. */
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

import { ENDLESS_FORMS, type EndlessForm, type StreamEnd } from './endless-answers';
import { hasPromptUpdates, type FleetSize } from './schedule';

/** Small ports of a gateway that strangers reach. */
export type StrangerPort = 'readiness' | 'directory' | 'peers' | 'metrics';

export type PeerFault =
  /** Upstreams answer in pieces of one byte: whole answers, or ones that stop before their end. */
  | { readonly kind: 'answers-in-pieces' | 'stopped-pieces'; readonly gateway: number }
  /** Upstreams answer without end, and callers that read or don't wait for it. */
  | {
      readonly kind: 'endless-answers';
      readonly gateway: number;
      readonly form: EndlessForm;
      readonly doCallersRead: boolean;
    }
  /** One upstream of those at work answers all its requests without end. */
  | { readonly kind: 'endless-upstream'; readonly upstream: number; readonly form: EndlessForm }
  /** One upstream of those at work writes its answers in pieces of one byte. */
  | { readonly kind: 'upstream-in-pieces'; readonly upstream: number }
  /** Callers send bodies in pieces of one byte, bounded or without end. */
  | { readonly kind: 'bodies-in-pieces' | 'endless-bodies'; readonly gateway: number }
  /** Callers send requests with long heads ahead, and don't read. */
  | { readonly kind: 'long-heads'; readonly gateway: number }
  /** Many answers stop halfway. */
  | { readonly kind: 'held-answers'; readonly gateway: number }
  /** Streamed answers break off before orders that were sent behind them. */
  | { readonly kind: 'broken-stream'; readonly gateway: number; readonly end: StreamEnd }
  /** Strangers send bodies in pieces of one byte without end to a small port. */
  | { readonly kind: 'strangers'; readonly gateway: number; readonly port: StrangerPort }
  /** Strangers send requests ahead without end, and read their answers or not. */
  | {
      readonly kind: 'requests-ahead';
      readonly gateway: number;
      readonly port: StrangerPort | 'callers';
      readonly doStrangersRead: boolean;
    }
  /** The store writes its answers in pieces of one byte, or such pieces without end. */
  | { readonly kind: 'store-in-pieces' | 'endless-store' };

/** A fault with its start, in milliseconds after the start of the run, and its duration. */
export interface ScheduledPeerFault {
  readonly startsAfterMs: number;
  readonly durationMs: number;
  readonly fault: PeerFault;
}

export const PEER_FAULT_KINDS: readonly PeerFault['kind'][] = [
  'answers-in-pieces',
  'stopped-pieces',
  'endless-answers',
  'endless-upstream',
  'upstream-in-pieces',
  'bodies-in-pieces',
  'endless-bodies',
  'long-heads',
  'held-answers',
  'broken-stream',
  'strangers',
  'requests-ahead',
  'store-in-pieces',
  'endless-store',
];
const STREAM_ENDS: readonly StreamEnd[] = ['end', 'reset', 'silence'];
/**
 * Without `until-close`: where the end of the connection ends a body, Node.js's client doesn't tell a
 * reset after bytes that it hasn't read from that end.
 */
const TELLABLE_FORMS = ENDLESS_FORMS.filter((form) => form !== 'until-close');
const STRANGER_PORTS: readonly StrangerPort[] = ['readiness', 'directory', 'peers', 'metrics'];
/** Kept apart from the source of the other faults, whose seeds keep their schedules. */
const SOURCE_OFFSET = 1_000_003;
const MIN_FAULT_MS = 500;
const MAX_FAULT_MS = 3000;
/** Mean time between the starts of two faults; faults overlap. */
const MEAN_FAULT_GAP_MS = 800;

/** Returns the faults of peers of one seed for a run of `millis` milliseconds, by start time. */
export const drawPeerFaults = (
  seed: number,
  millis: number,
  sizes: FleetSize,
  kinds = PEER_FAULT_KINDS,
): readonly ScheduledPeerFault[] => {
  const rng = xoroshiro128plus(seed + SOURCE_OFFSET);
  const upTo = (max: number): number => uniformInt(rng, 0, max);
  const pick = <T>(list: readonly T[]): T => {
    const item = list[upTo(list.length - 1)];
    if (item === undefined) throw new Error('expected a non-empty list to pick from');
    return item;
  };
  const drawFault = (kind: PeerFault['kind']): PeerFault => {
    const gateway = upTo(sizes.gateways - 1);
    const upstream = upTo(sizes.upstreams - 1);
    switch (kind) {
      case 'endless-answers':
        return { kind, gateway, form: pick(ENDLESS_FORMS), doCallersRead: upTo(2) > 0 };
      case 'endless-upstream':
        return { kind, upstream, form: pick(TELLABLE_FORMS) };
      case 'upstream-in-pieces':
        return { kind, upstream };
      case 'broken-stream':
        return { kind, gateway, end: pick(STREAM_ENDS) };
      case 'strangers':
        return { kind, gateway, port: pick(STRANGER_PORTS) };
      case 'requests-ahead': {
        const port = pick([...STRANGER_PORTS, 'callers' as const, 'callers' as const]);
        return { kind, gateway, port, doStrangersRead: upTo(2) === 0 };
      }
      case 'answers-in-pieces':
      case 'stopped-pieces':
      case 'bodies-in-pieces':
      case 'endless-bodies':
      case 'long-heads':
      case 'held-answers':
        return { kind, gateway };
      case 'store-in-pieces':
      case 'endless-store':
        return { kind };
    }
  };
  const drawable = hasPromptUpdates(seed)
    ? kinds.filter((kind) => kind !== 'endless-store')
    : kinds;
  const faults: ScheduledPeerFault[] = [];
  if (drawable.length === 0) return faults;
  for (
    let startsAfterMs = upTo(MEAN_FAULT_GAP_MS);
    startsAfterMs < millis;
    startsAfterMs += upTo(2 * MEAN_FAULT_GAP_MS)
  ) {
    const durationMs = MIN_FAULT_MS + upTo(MAX_FAULT_MS - MIN_FAULT_MS);
    faults.push({ startsAfterMs, durationMs, fault: drawFault(pick(drawable)) });
  }
  return faults;
};
