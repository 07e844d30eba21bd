import type { Millis } from '../../model';

import { headerOf, type AnswerHead } from './answer-parser';

/** Idle time-out in milliseconds of a connection if the upstream sends no Keep-Alive timeout. */
const DEFAULT_IDLE_MS: Millis = 4000;
/** Time in milliseconds by which a connection is given up before the upstream would close it. */
const IDLE_MARGIN_MS: Millis = 1000;
const MILLIS_PER_SECOND = 1000;

/** Returns the milliseconds for which a connection may be reused after an answer with this head. */
export const idleTimeOf = ({ rawHeaders }: AnswerHead): Millis => {
  const match = /timeout=(\d+)/.exec(headerOf(rawHeaders, 'keep-alive') ?? '');
  if (!match) return DEFAULT_IDLE_MS;
  return Math.max(0, Number(match[1]) * MILLIS_PER_SECOND - IDLE_MARGIN_MS);
};
