import { randomUUID } from 'node:crypto';
import { Left, Right, type Either } from 'purify-ts';

import { HttpPlatformLog, loadInventory, loadRules, loadSettings, systemClock } from '../adapters';
import { diffInventory, diffRules } from '../core';
import { Inventory, type Config, type ConfigChange, type Millis } from '../model';
import {
  publish,
  restore,
  type PublishResult,
  type PublishError,
  type PublisherDeps,
} from '../tasks';

import type { CliError } from './cli-error';
import type { CommandOutput } from './output';

/** Time limit of one request to the platform log. */
const LOG_TIMEOUT_MS: Millis = 2000;
/** Time limit of a whole publication, with its retries. */
const PUBLISH_TIMEOUT_MS: Millis = 20_000;

/** Selects the platform log that a command talks to: by its URL or by a node's settings file. */
export interface LogOptions {
  readonly log?: string | undefined;
  readonly settings?: string | undefined;
}

const fileRefusedError = (
  error: Extract<CliError, { kind: 'file-refused' }>['error'],
): CliError => ({
  kind: 'file-refused',
  error,
});

const usageError = (message: string): CliError => ({ kind: 'usage', message });

const logUrl = ({ log, settings }: LogOptions): Either<CliError, string> => {
  if (log !== undefined) {
    const isUrl = URL.canParse(log) && log.startsWith('http://');
    return isUrl
      ? Right(log.replace(/\/$/, ''))
      : Left(usageError('expected --log as http://IP:PORT'));
  }
  if (settings === undefined) return Left(usageError('expected --log URL or --settings FILE'));
  return loadSettings(settings)
    .mapLeft(fileRefusedError)
    .map(({ platform }) => platform.log);
};

/** Returns the change from a configuration to the one in a file; undefined if they are equal. */
type BuildChange = (config: Config) => ConfigChange | undefined;

const readChange = (what: string, file: string): Either<CliError, BuildChange> => {
  switch (what) {
    case 'inventory':
      return loadInventory(file)
        .mapLeft(fileRefusedError)
        .map(
          (upstreams) =>
            ({ inventory }) =>
              diffInventory(inventory, upstreams),
        );
    case 'rules':
      return loadRules(file)
        .mapLeft(fileRefusedError)
        .map(
          (to) =>
            ({ rules }) =>
              diffRules(rules, to),
        );
    default:
      return Left(usageError('publish inventory FILE, or publish rules FILE'));
  }
};

const outputOf = (publication: PublishResult): CommandOutput => {
  const { kind, version } = publication;
  const wasUnsure = kind === 'accepted' && publication.wasUnsure;
  const note = wasUnsure ? ' (an answer of the log was lost; it was read back)' : '';
  return { value: publication, lines: [`${kind} version=${version}${note}`] };
};

const withLog = async (
  url: string,
  action: (deps: PublisherDeps) => Promise<Either<PublishError, PublishResult>>,
): Promise<Either<CliError, CommandOutput>> => {
  const clock = systemClock;
  const log = new HttpPlatformLog({ url, timeout: LOG_TIMEOUT_MS, clock });
  const result = await action({ log, clock, publishId: randomUUID() });
  log.close();
  return result.map(outputOf).mapLeft((error): CliError => ({ kind: 'publish-failed', error }));
};

/** Runs `publish inventory FILE` or `publish rules FILE`. */
export const runPublish = async (
  what: string,
  file: string,
  options: LogOptions,
): Promise<Either<CliError, CommandOutput>> => {
  const prepared = logUrl(options).chain((url) =>
    readChange(what, file).map((buildChange) => ({ url, buildChange })),
  );
  if (prepared.isLeft()) return Left(prepared.swap().unsafeCoerce());
  const { url, buildChange } = prepared.unsafeCoerce();
  return withLog(url, (deps) => publish(deps, buildChange, PUBLISH_TIMEOUT_MS));
};

/** Runs `restore INVENTORY RULES`, for a log that no longer keeps any of the configuration. */
export const runRestore = async (
  inventoryFile: string,
  rulesFile: string,
  options: LogOptions,
): Promise<Either<CliError, CommandOutput>> => {
  const prepared = logUrl(options).chain((url) =>
    loadInventory(inventoryFile)
      .chain((upstreams) => loadRules(rulesFile).map((rules) => ({ url, upstreams, rules })))
      .mapLeft(fileRefusedError),
  );
  if (prepared.isLeft()) return Left(prepared.swap().unsafeCoerce());
  const { url, upstreams, rules } = prepared.unsafeCoerce();
  const config: Config = { version: 0, inventory: Inventory.from(upstreams), rules };
  return withLog(url, (deps) => restore(deps, config, PUBLISH_TIMEOUT_MS));
};
