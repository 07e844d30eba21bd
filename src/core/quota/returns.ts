import type { TokenReturn } from './messages';
import type { LeasedToken } from './token-stock';

/** Describes unused tokens by the requests under which they were granted. */
export const returnsOf = (tokens: readonly LeasedToken[]): readonly TokenReturn[] => {
  const sorted = [...tokens].sort((a, b) => a.seq - b.seq || a.index - b.index);
  const returns: TokenReturn[] = [];
  sorted.forEach(({ seq, index }) => {
    const last = returns.at(-1);
    if (last?.seq === seq && last.first + last.count === index) {
      returns[returns.length - 1] = { ...last, count: last.count + 1 };
    } else {
      returns.push({ seq, first: index, count: 1 });
    }
  });
  return returns;
};
