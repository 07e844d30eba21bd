import {
  Inventory,
  routeKey,
  type Config,
  type ConfigChange,
  type Delta,
  type Rules,
  type Upstream,
} from '../../model';

type KeyOf<T> = (entry: T) => string;

const byName = ({ name }: { readonly name: string }): string => name;
const byId = ({ id }: { readonly id: string }): string => id;

const isEmpty = ({ put, removed }: Delta<unknown, string>): boolean =>
  put.length === 0 && removed.length === 0;

/** Applies a delta to entries: replaced ones keep their place, new ones are appended. */
const applyDelta = <T>(
  entries: readonly T[],
  delta: Delta<T, string>,
  keyOf: KeyOf<T>,
): readonly T[] => {
  if (isEmpty(delta)) return entries;
  const removed = new Set(delta.removed);
  const put = new Map(delta.put.map((entry) => [keyOf(entry), entry]));
  const next: T[] = [];
  entries.forEach((entry) => {
    const key = keyOf(entry);
    const replacement = put.get(key);
    put.delete(key);
    if (replacement !== undefined) next.push(replacement);
    else if (!removed.has(key)) next.push(entry);
  });
  next.push(...put.values());
  return next;
};

/** Returns whether two entries have equal fields; as in JSON, undefined equals absent. */
const sameEntry = <T extends object>(one: T, other: T): boolean => {
  const fields = (entry: T): readonly (readonly [string, unknown])[] =>
    Object.entries(entry).filter(([, value]) => value !== undefined);
  const left = fields(one);
  const right = new Map(fields(other));
  return left.length === right.size && left.every(([key, value]) => right.get(key) === value);
};

const diffEntries = <T extends object>(
  from: readonly T[],
  to: readonly T[],
  keyOf: KeyOf<T>,
): Delta<T, string> => {
  const before = new Map(from.map((entry) => [keyOf(entry), entry]));
  const put = to.filter((entry) => {
    const old = before.get(keyOf(entry));
    return old === undefined || !sameEntry(old, entry);
  });
  const kept = new Set(to.map(keyOf));
  return { put, removed: [...before.keys()].filter((key) => !kept.has(key)) };
};

/** Returns the change from one inventory to another; undefined if they are equal. */
export const diffInventory = (
  from: Inventory,
  to: readonly Upstream[],
): ConfigChange | undefined => {
  const delta = diffEntries(from.all(), to, byId);
  if (isEmpty(delta)) return undefined;
  return { kind: 'inventory-delta', ...delta };
};

/** Returns the change from one set of rules to another; undefined if they are equal. */
export const diffRules = (from: Rules, to: Rules): ConfigChange | undefined => {
  const services = diffEntries(from.services, to.services, byName);
  const routes = diffEntries(from.routes, to.routes, routeKey);
  const workspaces = diffEntries(from.workspaces, to.workspaces, byName);
  if ([services, routes, workspaces].every(isEmpty)) return undefined;
  return { kind: 'rules-delta', services, routes, workspaces };
};

/** Returns the number of entries that a change puts or removes. */
export const changeEntryCount = (change: ConfigChange): number => {
  const ofDelta = ({ put, removed }: Delta<unknown, string>): number => put.length + removed.length;
  switch (change.kind) {
    case 'inventory-delta':
      return ofDelta(change);
    case 'inventory':
      return change.upstreams.length;
    case 'rules-delta':
      return ofDelta(change.services) + ofDelta(change.routes) + ofDelta(change.workspaces);
    case 'rules': {
      const { services, routes, workspaces } = change.rules;
      return services.length + routes.length + workspaces.length;
    }
  }
};

/** Returns the configuration after a change, with the next version number. */
export const applyChange = (config: Config, change: ConfigChange): Config => {
  const version = config.version + 1;
  const { inventory, rules } = config;
  switch (change.kind) {
    case 'inventory-delta':
      return { version, rules, inventory: inventory.withChanges(change.put, change.removed) };
    case 'inventory':
      return { version, rules, inventory: Inventory.from(change.upstreams) };
    case 'rules-delta':
      return {
        version,
        inventory,
        rules: {
          services: applyDelta(rules.services, change.services, byName),
          routes: applyDelta(rules.routes, change.routes, routeKey),
          workspaces: applyDelta(rules.workspaces, change.workspaces, byName),
        },
      };
    case 'rules':
      return { version, inventory, rules: change.rules };
  }
};
