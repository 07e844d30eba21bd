import { Just, Maybe, Nothing } from 'purify-ts';

import { NO_RULES, type Route, type Rules, type Workspace, type WorkspaceName } from '../model';

const ANY_METHOD = '*';
/** The group of routes that hold for all workspaces. */
const ALL_WORKSPACES = '';

/** One segment of a path and what lies below it. */
interface PathNode {
  readonly children: Map<string, PathNode>;
  readonly routes: Map<string, Route>;
}

const emptyPathNode = (): PathNode => ({ children: new Map(), routes: new Map() });

/** The segments of a path; the query and empty segments are left out. */
const segmentsOf = (path: string): readonly string[] => {
  const query = path.indexOf('?');
  const plain = query < 0 ? path : path.slice(0, query);
  return plain.split('/').filter((segment) => segment !== '');
};

const routeAt = (segment: PathNode, method: string): Route | undefined =>
  segment.routes.get(method) ?? segment.routes.get(ANY_METHOD);

const insert = (root: PathNode, route: Route): void => {
  let at = root;
  segmentsOf(route.pathPrefix).forEach((name) => {
    const next = at.children.get(name) ?? emptyPathNode();
    at.children.set(name, next);
    at = next;
  });
  at.routes.set(route.method, route);
};

/** Takes a route out, and the segments that only it needed. */
const remove = (at: PathNode, route: Route, names: readonly string[]): void => {
  const [name, ...rest] = names;
  if (name === undefined) {
    if (at.routes.get(route.method) === route) at.routes.delete(route.method);
    return;
  }
  const next = at.children.get(name);
  if (!next) return;
  remove(next, route, rest);
  if (next.children.size === 0 && next.routes.size === 0) at.children.delete(name);
};

const find = (root: PathNode, method: string, names: readonly string[]): Route | undefined => {
  let best = routeAt(root, method);
  let at: PathNode | undefined = root;
  for (let i = 0; i < names.length; i++) {
    at = at.children.get(names[i] ?? '');
    if (!at) return best;
    best = routeAt(at, method) ?? best;
  }
  return best;
};

/** What `after` lacks of `before`, and what it has besides; elements are compared by identity. */
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
 * The route for a method, path and workspace: by longest path prefix on segment boundaries, the
 * workspace's own route group before the routes for all, a named method before `*`.
 */
export class RouteTable {
  private rules: Rules = NO_RULES;

  private readonly groups = new Map<string, PathNode>();

  private readonly workspaces = new Map<WorkspaceName, Workspace>();

  /**
   * Takes the rules now in force. What they share with the earlier ones, by identity, costs a
   * comparison; the rest is applied one by one.
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

  /** `path` may carry a query. O(path length). */
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
