import { Left, Right, type Either } from 'purify-ts';

import { loadInventory, loadRules, loadSettings, type TomlError } from '../adapters';

import type { CliError } from './cli-error';
import type { CommandOutput } from './output';

const FILE_KINDS = ['settings', 'inventory', 'rules'] as const;

type FileKind = (typeof FILE_KINDS)[number];

const outputFor = (
  kind: FileKind,
  detail: Readonly<Record<string, number | string>>,
): CommandOutput => {
  const pairs = Object.entries(detail).map(([key, value]) => `${key}=${value}`);
  return { value: { kind, ...detail }, lines: [`${kind} valid ${pairs.join(' ')}`] };
};

const checkFile = (kind: FileKind, file: string): Either<TomlError, CommandOutput> => {
  switch (kind) {
    case 'settings':
      return loadSettings(file).map(({ dataCentre }) => outputFor(kind, { dataCentre }));
    case 'inventory':
      return loadInventory(file).map(({ length }) => outputFor(kind, { upstreams: length }));
    case 'rules':
      return loadRules(file).map(({ services, routes, workspaces }) =>
        outputFor(kind, {
          services: services.length,
          routes: routes.length,
          workspaces: workspaces.length,
        }),
      );
  }
};

/** Runs `config check FILE`, which refuses a file that a node or `publish` would refuse. */
export const runConfig = (
  action: string,
  file: string,
  kindName: string,
): Either<CliError, CommandOutput> => {
  if (action !== 'check') return Left({ kind: 'usage', message: 'config check FILE' });
  const kind = FILE_KINDS.find((each) => each === kindName);
  if (!kind) return Left({ kind: 'usage', message: `expected --kind as ${FILE_KINDS.join(', ')}` });
  return checkFile(kind, file).caseOf<Either<CliError, CommandOutput>>({
    Left: (error) => Left({ kind: 'file-refused', error }),
    Right,
  });
};
