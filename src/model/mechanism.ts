import { Either, Left, Right } from 'purify-ts';

/**
 * The mechanisms of a gateway that can be switched off to measure what each is worth. None of them
 * carries a promise: at most one run, true refusals, drains, bounds of retries and of limits, and
 * configurations in force in time hold with all of them off.
 */
export const MECHANISMS = [
  /** Owners of a service tell each other what they see of its upstreams. */
  'shared-evidence',
  /** Upstreams are chosen by how likely they are to be faulty; off: all count as equally likely. */
  'fault-beliefs',
  /** Rates of faults are learned; off: the initial ones hold. */
  'learned-fault-rates',
  /** Requests that can't be repeated cover unused upstreams later than others; off: alike. */
  'spared-coverage',
  /** Upstreams that have joined get a request soon. */
  'newcomers',
  /** Upstreams are chosen by their load; off: only full ones are left out. */
  'load-placement',
  /** The costs of requests are learned; off: all requests of a route count as equal. */
  'learned-cost',
  /** The queue length at which upstreams reject work is learned; off: a constant. */
  'learned-queue-limit',
  /** Bytes between data centres count in the choice of an upstream. */
  'transfer-cost',
  /** Slow attempts get a second one beside them. */
  'hedges',
  /** Attempts that have run and failed are repeated where that is allowed. */
  'retries',
  /** Requests wait for a slot; off: they are refused at once. */
  'waiting',
  /** Requests are refused as soon as they can't start in time; off: when that time has come. */
  'early-refusal',
  /** Retries of more urgent requests are provided for. */
  'retry-reserve',
] as const;

export type Mechanism = (typeof MECHANISMS)[number];

/** The mechanisms that are switched off. */
export type DisabledMechanisms = ReadonlySet<Mechanism>;

export const NONE_DISABLED: DisabledMechanisms = new Set();

/** A name that is not that of a mechanism. */
export interface UnknownMechanism {
  readonly kind: 'unknown-mechanism';
  readonly name: string;
}

const isMechanism = (name: string): name is Mechanism =>
  (MECHANISMS as readonly string[]).includes(name);

/** Parses the names of mechanisms, separated by commas; `all` stands for all of them. */
export const parseMechanisms = (text: string): Either<UnknownMechanism, DisabledMechanisms> => {
  const names = text
    .split(',')
    .map((name) => name.trim())
    .filter((name) => name !== '');
  if (names.length === 1 && names[0] === 'all') return Right(new Set(MECHANISMS));
  const unknown = names.find((name) => !isMechanism(name));
  if (unknown !== undefined) return Left({ kind: 'unknown-mechanism', name: unknown });
  return Right(new Set(names.filter(isMechanism)));
};
