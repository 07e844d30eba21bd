import { Just, Maybe, Nothing } from 'purify-ts';

import { NO_RULES, type Route, type Rules, type Workspace, type WorkspaceName } from '../model';

const ANY_METHOD = '*';
/** Key of the group of routes that apply to all workspaces. */
const ALL_WORKSPACES = '';

/** A node of the path trie: the routes that end here, by method, and the next segments. */
interface PathNode {
  readonly children: Map<string, PathNode>;
  readonly routes: Map<string, Route>;
}

const emptyPathNode = (): PathNode => ({ children: new Map(), routes: new Map() });

/** Returns the segments of a path without the query and empty segments. */
const segmentsOf = (path: string): readonly string[] => {
  const query = path.indexOf('?');
  const plain = query < 0 ? path : path.slice(0, query);
  return plain.split('/').filter((segment) => segment !== '');
};

const routeAt = (segment: PathNode, method: string): Route | undefined =>
  segment.routes.get(method) ?? segment.routes.get(ANY_METHOD);

const insert = (root: PathNode, route: Route): void => {
  let node = root;
  segmentsOf(route.pathPrefix).forEach((name) => {
    const next = node.children.get(name) ?? emptyPathNode();
    node.children.set(name, next);
    node = next;
  });
  node.routes.set(route.method, route);
};

/** Removes a route and the nodes that only it needed. */
const remove = (node: PathNode, route: Route, names: readonly string[]): void => {
  const [name, ...rest] = names;
  if (name === undefined) {
    if (node.routes.get(route.method) === route) node.routes.delete(route.method);
    return;
  }
  const next = node.children.get(name);
  if (!next) return;
  remove(next, route, rest);
  if (next.children.size === 0 && next.routes.size === 0) node.children.delete(name);
};

const find = (root: PathNode, method: string, names: readonly string[]): Route | undefined => {
  let best = routeAt(root, method);
  let node: PathNode | undefined = root;
  for (let i = 0; i < names.length; i++) {
    node = node.children.get(names[i] ?? '');
    if (!node) return best;
    best = routeAt(node, method) ?? best;
  }
  return best;
};

/** Returns the elements removed and added between two lists, compared by identity. */
const difference = <T>(
  before: readonly T[],
  after: readonly T[],
): { readonly gone: readonly T[]; readonly added: readonly T[] } => {
  if (before === after) return { gone: [], added: [] };
  const shorter = Math.min(before.length, after.length);
  let head = 0;
  while (head < shorter && before[head] === after[head]) head += 1;
  let tail = 0;
  while (tail < shorter - head && before.at(-1 - tail) === after.at(-1 - tail)) tail += 1;
  const old = new Set(before.slice(head, before.length - tail));
  const fresh = new Set(after.slice(head, after.length - tail));
  return {
    gone: [...old].filter((item) => !fresh.has(item)),
    added: [...fresh].filter((item) => !old.has(item)),
  };
};

/**
 * Finds the route for a method, path and workspace. The longest path prefix on segment boundaries
 * wins, the workspace's own route group goes before the routes for all workspaces, and a named
 * method before `*`.
 */
export class RouteTable {
  private rules: Rules = NO_RULES;

  private readonly groups = new Map<string, PathNode>();

  private readonly workspaces = new Map<WorkspaceName, Workspace>();

  /**
   * Replaces the rules. Only elements that are not identical to earlier ones are applied, so that
   * a small change is cheap.
   */
  update(rules: Rules): void {
    const routes = difference(this.rules.routes, rules.routes);
    const workspaces = difference(this.rules.workspaces, rules.workspaces);
    routes.gone.forEach((route) => this.removeRoute(route));
    routes.added.forEach((route) => insert(this.groupOf(route.group ?? ALL_WORKSPACES), route));
    workspaces.gone.forEach(({ name }) => this.workspaces.delete(name));
    workspaces.added.forEach((workspace) => this.workspaces.set(workspace.name, workspace));
    this.rules = rules;
  }

  /** Returns the matching route in O(path length); `path` may include a query. */
  find(method: string, path: string, workspace: WorkspaceName): Maybe<Route> {
    const names = segmentsOf(path);
    const group = this.workspaces.get(workspace)?.group;
    const own = group === undefined ? undefined : this.groups.get(group);
    const route = (own && find(own, method, names)) ?? this.findForAll(method, names);
    return route ? Just(route) : Nothing;
  }

  workspace(name: WorkspaceName): Maybe<Workspace> {
    return Maybe.fromNullable(this.workspaces.get(name));
  }

  private findForAll(method: string, names: readonly string[]): Route | undefined {
    const all = this.groups.get(ALL_WORKSPACES);
    return all && find(all, method, names);
  }

  private groupOf(name: string): PathNode {
    const group = this.groups.get(name) ?? emptyPathNode();
    this.groups.set(name, group);
    return group;
  }

  private removeRoute(route: Route): void {
    const name = route.group ?? ALL_WORKSPACES;
    const group = this.groups.get(name);
    if (!group) return;
    remove(group, route, segmentsOf(route.pathPrefix));
    if (group.children.size === 0 && group.routes.size === 0) this.groups.delete(name);
  }
}
