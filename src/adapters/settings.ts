import { Left, Right, type Either } from 'purify-ts';

import type { LimitSettings, ListenSettings, PlatformSettings, Settings } from '../model';

import { TomlDocument, type TomlFields, type TomlTable } from './toml-document';
import type { TomlError } from './toml-error';
import { baseUrl, bytes, duration, ipAddress, name, optional, port } from './toml-fields';

const KB_BYTES = 2 ** 10;
const MB_BYTES = 2 ** 20;
const GB_BYTES = 2 ** 30;
const SECOND_MS = 1000;
const HOUR_MS = 3600 * SECOND_MS;
const DAY_MS = 24 * HOUR_MS;

const LISTEN_FIELDS: TomlFields<ListenSettings> = {
  address: ipAddress,
  callerPort: port,
  peerPort: port,
  operatorPort: port,
};

const PLATFORM_FIELDS: TomlFields<PlatformSettings> = {
  log: baseUrl,
  hosts: baseUrl,
  retention: optional(duration(60 * SECOND_MS, 365 * DAY_MS), DAY_MS),
  timeout: optional(duration(100, 60 * SECOND_MS), 2 * SECOND_MS),
};

const LIMIT_FIELDS: TomlFields<LimitSettings> = {
  maxBodyBytes: optional(bytes(KB_BYTES, 16 * GB_BYTES), 256 * MB_BYTES),
  maxHeadBytes: optional(bytes(KB_BYTES, MB_BYTES), 16 * KB_BYTES),
  headTimeout: optional(duration(100, 300 * SECOND_MS), 10 * SECOND_MS),
  drainTimeout: optional(duration(100, HOUR_MS), 30 * SECOND_MS),
};

const PORT_KEYS = ['callerPort', 'peerPort', 'operatorPort'] as const;

/** Checks that the node's ports differ from one another. */
const checkDistinctPorts = (
  table: TomlTable,
  listen: ListenSettings,
): Either<TomlError, ListenSettings> => {
  const seen = new Map<number, string>();
  for (const key of PORT_KEYS) {
    const other = seen.get(listen[key]);
    if (other !== undefined) {
      return Left(table.errorAt('overlap', key, `give a port other than that of ${other}`));
    }
    seen.set(listen[key], key);
  }
  return Right(listen);
};

/**
 * Checks that the platform's URLs don't name a port of this node, as the platform runs elsewhere.
 */
const checkPlatformUrls = (
  table: TomlTable,
  platform: PlatformSettings,
  listen: ListenSettings,
): Either<TomlError, PlatformSettings> => {
  const ownEndpoints = PORT_KEYS.map((key) => `${listen.address}:${listen[key]}`);
  const key = (['log', 'hosts'] as const).find((each) =>
    ownEndpoints.includes(new URL(platform[each]).host),
  );
  if (key === undefined) return Right(platform);
  return Left(
    table.errorAt('overlap', key, 'give the URL of the platform, not a port of this node'),
  );
};

const readSettings = (document: TomlDocument): Either<TomlError, Settings> =>
  document
    .allowOnlyKeys(['dataCentre', 'listen', 'platform', 'limits'])
    .chain(() => document.topLevel().read<Pick<Settings, 'dataCentre'>>({ dataCentre: name }))
    .chain(({ dataCentre }) =>
      document
        .table('listen')
        .chain((table) =>
          table.read(LISTEN_FIELDS).chain((listen) => checkDistinctPorts(table, listen)),
        )
        .chain((listen) =>
          document
            .table('platform')
            .chain((table) =>
              table
                .read(PLATFORM_FIELDS)
                .chain((platform) => checkPlatformUrls(table, platform, listen)),
            )
            .chain((platform) =>
              document
                .table('limits')
                .chain((table) => table.read(LIMIT_FIELDS))
                .map((limits): Settings => ({ dataCentre, listen, platform, limits })),
            ),
        ),
    );

/** Parses a node's settings from the text of its file. `file` names it in errors. */
export const parseSettings = (file: string, source: string): Either<TomlError, Settings> =>
  TomlDocument.parse(file, source).chain(readSettings);

/** Reads and parses a node's settings. */
export const loadSettings = (file: string): Either<TomlError, Settings> =>
  TomlDocument.load(file).chain(readSettings);
