/** Headers that concern one connection only, in lower case. */
const OF_CONNECTION: ReadonlySet<string> = new Set([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'content-length',
  'expect',
]);

/** Raw headers, names and values in turn, without those of one connection and without `others`. */
export const endToEnd = (
  rawHeaders: readonly string[],
  others: ReadonlySet<string> = new Set(),
): string[] => {
  const named = new Set<string>();
  for (let i = 0; i + 1 < rawHeaders.length; i += 2) {
    if (rawHeaders[i]?.toLowerCase() === 'connection') {
      (rawHeaders[i + 1] ?? '')
        .toLowerCase()
        .split(',')
        .forEach((token) => named.add(token.trim()));
    }
  }
  const kept: string[] = [];
  for (let i = 0; i + 1 < rawHeaders.length; i += 2) {
    const name = rawHeaders[i] ?? '';
    const lower = name.toLowerCase();
    if (!OF_CONNECTION.has(lower) && !named.has(lower) && !others.has(lower)) {
      kept.push(name, rawHeaders[i + 1] ?? '');
    }
  }
  return kept;
};
