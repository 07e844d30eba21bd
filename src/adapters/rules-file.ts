import { Either, Left, Right } from 'purify-ts';

import type { Route, Rules, ServiceRules, Workspace } from '../model';

import { TomlDocument, type TomlFields, type TomlTable } from './toml-document';
import type { TomlError } from './toml-error';
import { duration, flag, method, name, number, optional, path } from './toml-fields';

const MAX_COST_RATIO = 1_000_000;
const MAX_QUEUE_PER_SLOT = 10_000;
const MAX_WEIGHT = 1_000_000;
const MIN_WEIGHT = 0.001;
const MAX_TIMEOUT_MS = 24 * 3600 * 1000;

/** A route as it is written in the file, where the path prefix is the key `path`. */
interface RouteEntry extends Omit<Route, 'pathPrefix'> {
  readonly path: string;
}

const SERVICE_FIELDS: TomlFields<ServiceRules> = {
  name,
  floor: optional(number(0, 1), 0.7),
  costRatio: optional(number(0, MAX_COST_RATIO), 10),
  queuePerSlot: optional(number(0, MAX_QUEUE_PER_SLOT), 4),
  retryRatio: optional(number(0, 1), 0.1),
};

const ROUTE_FIELDS: TomlFields<RouteEntry> = {
  method,
  path,
  service: name,
  idempotent: flag,
  timeout: duration(1, MAX_TIMEOUT_MS),
  group: optional(name, undefined),
};

const WORKSPACE_FIELDS: TomlFields<Workspace> = {
  name,
  weight: optional(number(MIN_WEIGHT, MAX_WEIGHT), 1),
  group: optional(name, undefined),
};

/** Reads entries whose names must be unique. */
const readUniquelyNamed = <T extends { readonly name: string }>(
  tables: readonly TomlTable[],
  fields: TomlFields<T>,
): Either<TomlError, readonly T[]> => {
  const seen = new Set<string>();
  return Either.sequence(
    tables.map((table) =>
      table.read(fields).chain((entry): Either<TomlError, T> => {
        if (seen.has(entry.name)) {
          return Left(
            table.errorAt('duplicate', 'name', `${entry.name} is listed twice: keep one`),
          );
        }
        seen.add(entry.name);
        return Right(entry);
      }),
    ),
  );
};

/**
 * Reads the routes. No two may have the same path, method and group; each names a listed service.
 */
const readRoutes = (
  tables: readonly TomlTable[],
  services: ReadonlySet<string>,
): Either<TomlError, readonly Route[]> => {
  const seen = new Set<string>();
  return Either.sequence(
    tables.map((table) =>
      table.read(ROUTE_FIELDS).chain(({ path: pathPrefix, ...rest }): Either<TomlError, Route> => {
        const key = [rest.group ?? '', rest.method, pathPrefix].join(' ');
        if (seen.has(key)) {
          return Left(
            table.errorAt(
              'unreachable',
              'path',
              'an earlier route has this path, method and group: remove one',
            ),
          );
        }
        if (!services.has(rest.service)) {
          return Left(
            table.errorAt('unknown-name', 'service', `add a [[service]] named ${rest.service}`),
          );
        }
        seen.add(key);
        return Right({ ...rest, pathPrefix });
      }),
    ),
  );
};

/** Checks that each workspace's group has a route, and each route's group a workspace. */
const checkGroups = (
  routeTables: readonly TomlTable[],
  workspaceTables: readonly TomlTable[],
  rules: Rules,
): Either<TomlError, Rules> => {
  const routeGroups = new Set(rules.routes.map(({ group }) => group));
  const workspaceGroups = new Set(rules.workspaces.map(({ group }) => group));
  const workspaceIndex = rules.workspaces.findIndex(
    ({ group }) => group !== undefined && !routeGroups.has(group),
  );
  const workspaceTable = workspaceTables[workspaceIndex];
  if (workspaceTable) {
    return Left(workspaceTable.errorAt('unknown-name', 'group', 'add a [[route]] with this group'));
  }
  const routeIndex = rules.routes.findIndex(
    ({ group }) => group !== undefined && !workspaceGroups.has(group),
  );
  const routeTable = routeTables[routeIndex];
  if (!routeTable) return Right(rules);
  return Left(routeTable.errorAt('unreachable', 'group', 'add a [[workspace]] with this group'));
};

const readRules = (document: TomlDocument): Either<TomlError, Rules> =>
  document
    .allowOnlyKeys(['service', 'route', 'workspace'])
    .chain(() =>
      Either.sequence([
        document.tables('service'),
        document.tables('route'),
        document.tables('workspace'),
      ]),
    )
    .chain(([serviceTables = [], routeTables = [], workspaceTables = []]) =>
      readUniquelyNamed(serviceTables, SERVICE_FIELDS).chain((services) =>
        readRoutes(routeTables, new Set(services.map((service) => service.name))).chain((routes) =>
          readUniquelyNamed(workspaceTables, WORKSPACE_FIELDS).chain((workspaces) =>
            checkGroups(routeTables, workspaceTables, { services, routes, workspaces }),
          ),
        ),
      ),
    );

/** Parses a rules file from its text. `file` names it in errors. */
export const parseRules = (file: string, source: string): Either<TomlError, Rules> =>
  TomlDocument.parse(file, source).chain(readRules);

/** Reads and parses a rules file. */
export const loadRules = (file: string): Either<TomlError, Rules> =>
  TomlDocument.load(file).chain(readRules);
