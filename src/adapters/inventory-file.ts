import { Either, Left, Right } from 'purify-ts';

import type { Upstream } from '../model';

import { TomlDocument, type TomlFields, type TomlTable } from './toml-document';
import type { TomlError } from './toml-error';
import { integer, ipAddress, name, port } from './toml-fields';

const MAX_SLOT_COUNT = 100_000;
const MAX_CONNECTION_COUNT = 1_000_000;

const UPSTREAM_FIELDS: TomlFields<Upstream> = {
  id: name,
  service: name,
  dataCentre: name,
  address: ipAddress,
  port,
  slots: integer(1, MAX_SLOT_COUNT),
  connections: integer(1, MAX_CONNECTION_COUNT),
};

/**
 * Reads the entries. Ids and addresses are unique, and each upstream takes at least as many
 * connections as it has slots.
 */
const readUpstreams = (tables: readonly TomlTable[]): Either<TomlError, readonly Upstream[]> => {
  const ids = new Set<string>();
  const addresses = new Map<string, string>();
  return Either.sequence(
    tables.map((table) =>
      table.read(UPSTREAM_FIELDS).chain((upstream): Either<TomlError, Upstream> => {
        const address = `${upstream.address} ${upstream.port}`;
        const otherId = addresses.get(address);
        if (ids.has(upstream.id)) {
          return Left(table.errorAt('duplicate', 'id', `${upstream.id} is listed twice: keep one`));
        }
        if (otherId !== undefined) {
          return Left(
            table.errorAt('overlap', 'port', `${otherId} has this address and port: change one`),
          );
        }
        if (upstream.connections < upstream.slots) {
          return Left(
            table.errorAt('out-of-range', 'connections', 'give at least as many as slots'),
          );
        }
        ids.add(upstream.id);
        addresses.set(address, upstream.id);
        return Right(upstream);
      }),
    ),
  );
};

const readInventory = (document: TomlDocument): Either<TomlError, readonly Upstream[]> =>
  document
    .allowOnlyKeys(['upstream'])
    .chain(() => document.tables('upstream'))
    .chain(readUpstreams);

/** Parses the upstreams of an inventory file from its text. `file` names it in errors. */
export const parseInventory = (
  file: string,
  source: string,
): Either<TomlError, readonly Upstream[]> => TomlDocument.parse(file, source).chain(readInventory);

/** Reads and parses the upstreams of an inventory file. */
export const loadInventory = (file: string): Either<TomlError, readonly Upstream[]> =>
  TomlDocument.load(file).chain(readInventory);
