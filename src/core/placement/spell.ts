import type { Instant, Millis } from '../../model';

/**
 * Upstreams fail in spells: for some seconds most of their answers are failures, though their
 * health check is good. The model has two states, well and ill, with these figures.
 */
export const SPELL_MODEL = {
  /** Share of the time that an upstream is ill; from the users' sites, three in ten. */
  illShare: 0.3,
  /** How fast knowledge fades; upstreams on the users' sites change about every 9 s. */
  memory: 9000 as Millis,
  /** Share of failures while ill; from the users' sites. */
  failsIll: 0.75,
  /** Share of failures while well; from the users' sites. */
  failsWell: 0.015,
} as const;

/** How sure one is that an upstream is ill, as of a moment. */
export interface Belief {
  readonly ill: number;
  readonly at: Instant;
}

export const UNKNOWN: Belief = { ill: SPELL_MODEL.illShare, at: 0 };

/** The chance that the upstream is ill at `now`, from what was believed earlier. */
export const illAt = (belief: Belief, now: Instant): number => {
  const { illShare, memory } = SPELL_MODEL;
  const age = Math.max(0, now - belief.at);
  return illShare + (belief.ill - illShare) * Math.exp(-age / memory);
};

/**
 * What is seen of an upstream: a good answer, a failure before the work can have been done, one
 * after it, or an answer that is long in coming.
 */
export type Evidence = 'good' | 'failed-early' | 'failed-late' | 'slow';

/** How often each kind of evidence is seen of an upstream that is ill, and of one that is well. */
const LIKELIHOOD: Readonly<Record<Evidence, { readonly ill: number; readonly well: number }>> = {
  good: { ill: 1 - SPELL_MODEL.failsIll, well: 1 - SPELL_MODEL.failsWell },
  // On the users' sites 130 of 148 early failures were in spells, 7 of 40 late ones.
  'failed-early': { ill: SPELL_MODEL.failsIll, well: 0.003 },
  // Mostly the request's own fault.
  'failed-late': { ill: 0.1, well: 0.012 },
  // Of answers that take three times the usual: most of an upstream that hangs, few of others.
  slow: { ill: 0.6, well: 0.04 },
};

/** The belief after something was seen. */
export const learn = (belief: Belief, evidence: Evidence, now: Instant): Belief => {
  const ill = illAt(belief, now);
  const { ill: whenIll, well: whenWell } = LIKELIHOOD[evidence];
  const posterior = (ill * whenIll) / (ill * whenIll + (1 - ill) * whenWell);
  return { ill: posterior, at: now };
};

/** The chance that a request sent now fails. */
export const failureChance = (belief: Belief, now: Instant): number => {
  const ill = illAt(belief, now);
  return ill * SPELL_MODEL.failsIll + (1 - ill) * SPELL_MODEL.failsWell;
};
