/** Names of headers that are not forwarded because they concern one connection, in lower case. */
const HOP_BY_HOP_HEADERS: ReadonlySet<string> = new Set([
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

/**
 * Returns raw headers (names and values alternating) without the hop-by-hop ones, those that
 * Connection names and those in `others` (in lower case).
 */
export const endToEndHeaders = (
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
    if (!HOP_BY_HOP_HEADERS.has(lower) && !named.has(lower) && !others.has(lower)) {
      kept.push(name, rawHeaders[i + 1] ?? '');
    }
  }
  return kept;
};

/** A header that was taken out of a request; its name is in lower case. */
export interface RemovedHeader {
  readonly name: string;
  readonly value: string;
}

/** Takes the headers with these names (in lower case) out of raw headers. */
export const withoutHeaders = (
  rawHeaders: readonly string[],
  names: ReadonlySet<string>,
): { readonly kept: readonly string[]; readonly removed: readonly RemovedHeader[] } => {
  const kept: string[] = [];
  const removed: RemovedHeader[] = [];
  for (let i = 0; i + 1 < rawHeaders.length; i += 2) {
    const name = rawHeaders[i] ?? '';
    const value = rawHeaders[i + 1] ?? '';
    if (names.has(name.toLowerCase())) removed.push({ name: name.toLowerCase(), value });
    else kept.push(name, value);
  }
  return { kept, removed };
};
