/**
 * Maximum size in bytes of an answer that is held until whole for the sake of requests behind it.
 */
export const MAX_WHOLE_ANSWER_BYTES = 16 * 2 ** 20;

/** An answer that is about to be passed on, and the requests behind it on its connection. */
export interface PassedAnswer {
  /** Whether the answer ends otherwise than with its connection. */
  readonly isFramed: boolean;
  /** Whether all of it has arrived. */
  readonly isWhole: boolean;
  /** Size in bytes as far as it is known. */
  readonly size: number;
  /** Whether a request behind it is served, so that it may have run. */
  readonly hasServedBehind: boolean;
}

/** How an answer is passed on. */
export type AnswerPassing =
  /** As it comes. Requests behind it that are not served wait for its end. */
  | { readonly kind: 'as-it-comes' }
  /** Once it is whole, or else as lost. */
  | { readonly kind: 'once-whole' }
  /** Not at all: the request is lost, and those behind it have their answers. */
  | { readonly kind: 'given-up'; readonly why: 'unframed' | 'answer-too-large' };

/**
 * Decides how an answer is passed on. Load pattern: a caller sends orders on one connection behind a
 * download. Only the end of the connection tells the caller that a download has broken off, and with
 * it go the answers to all orders that have run by then.
 */
export const answerPassingOf = (answer: PassedAnswer): AnswerPassing => {
  const { isFramed, isWhole, size, hasServedBehind } = answer;
  if (!hasServedBehind) return { kind: 'as-it-comes' };
  if (!isFramed) return { kind: 'given-up', why: 'unframed' };
  if (isWhole) return { kind: 'as-it-comes' };
  if (size > MAX_WHOLE_ANSWER_BYTES) return { kind: 'given-up', why: 'answer-too-large' };
  return { kind: 'once-whole' };
};
