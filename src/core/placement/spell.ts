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

/** The belief after an answer. */
export const learn = (belief: Belief, isGood: boolean, now: Instant): Belief => {
  const ill = illAt(belief, now);
  const whenIll = isGood ? 1 - SPELL_MODEL.failsIll : SPELL_MODEL.failsIll;
  const whenWell = isGood ? 1 - SPELL_MODEL.failsWell : SPELL_MODEL.failsWell;
  const posterior = (ill * whenIll) / (ill * whenIll + (1 - ill) * whenWell);
  return { ill: posterior, at: now };
};

/** The chance that a request sent now fails. */
export const failureChance = (belief: Belief, now: Instant): number => {
  const ill = illAt(belief, now);
  return ill * SPELL_MODEL.failsIll + (1 - ill) * SPELL_MODEL.failsWell;
};
