const DEPTH = 60_000;
const LARGE = Number.MAX_SAFE_INTEGER;
/** A port at which nothing listens. */
const DEAD_ADDRESS = '127.0.0.1:9';

interface Entry {
  readonly address: string;
  readonly info: object;
  readonly status: object;
  readonly born: number;
}

/** Texts that another program may write in the place of an upstream's entry. */
const ODD_ENTRIES: readonly ((entry: Entry) => unknown)[] = [
  () => `${'['.repeat(DEPTH)}0${']'.repeat(DEPTH)}`,
  (entry) => JSON.stringify(entry).replace(/"born":\d+/, `"born":${'9'.repeat(400)}`),
  (entry) => JSON.stringify(entry).slice(0, -3),
  (entry) => ({ ...entry, address: '127.0.0.1:70000' }),
  (entry) => ({ ...entry, address: DEAD_ADDRESS, born: LARGE }),
  (entry) => ({ ...entry, address: DEAD_ADDRESS, status: { ...entry.status, sequence: LARGE } }),
  (entry) => ({ ...entry, status: { ...entry.status, state: 'draining', sequence: LARGE } }),
];

export const ODD_ENTRY_COUNT = ODD_ENTRIES.length;

/** Returns an odd entry made from a true one, by its number. */
export const oddEntryOf = (number: number, entry: object): unknown =>
  ODD_ENTRIES[number]?.(entry as Entry);
