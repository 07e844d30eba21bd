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
import type { Answer } from './output';

const LOG_TIMEOUT: Millis = 2000;
const PUBLISH_WITHIN: Millis = 20_000;

/** Which log a command talks to: by URL, or as a node's settings name it. */
export interface LogOptions {
  readonly log?: string | undefined;
  readonly settings?: string | undefined;
}

const refused = (error: Extract<CliError, { kind: 'file-refused' }>['error']): CliError => ({
  kind: 'file-refused',
  error,
});

const usage = (message: string): CliError => ({ kind: 'usage', message });

const logUrl = ({ log, settings }: LogOptions): Either<CliError, string> => {
  if (log !== undefined) {
    const isUrl = URL.canParse(log) && log.startsWith('http://');
    return isUrl ? Right(log.replace(/\/$/, '')) : Left(usage('give --log as http://IP:PORT'));
  }
  if (settings === undefined) return Left(usage('give --log URL or --settings FILE'));
  return loadSettings(settings)
    .mapLeft(refused)
    .map(({ platform }) => platform.log);
};

/** The change that a file asks for, given the current configuration. */
type ChangeOf = (config: Config) => ConfigChange | undefined;

const readChange = (what: string, file: string): Either<CliError, ChangeOf> => {
  switch (what) {
    case 'inventory':
      return loadInventory(file)
        .mapLeft(refused)
        .map(
          (upstreams) =>
            ({ inventory }) =>
              diffInventory(inventory, upstreams),
        );
    case 'rules':
      return loadRules(file)
        .mapLeft(refused)
        .map(
          (to) =>
            ({ rules }) =>
              diffRules(rules, to),
        );
    default:
      return Left(usage('publish inventory FILE, or publish rules FILE'));
  }
};

const answerOf = (publication: PublishResult): Answer => {
  const { kind, version } = publication;
  const wasUnsure = kind === 'accepted' && publication.wasUnsure;
  const note = wasUnsure ? ' (an answer of the log was lost; it was read back)' : '';
  return { value: publication, lines: [`${kind} version=${version}${note}`] };
};

const withLog = async (
  url: string,
  action: (deps: PublisherDeps) => Promise<Either<PublishError, PublishResult>>,
): Promise<Either<CliError, Answer>> => {
  const clock = systemClock;
  const log = new HttpPlatformLog({ url, timeout: LOG_TIMEOUT, clock });
  const result = await action({ log, clock, publishId: randomUUID() });
  log.close();
  return result.map(answerOf).mapLeft((error): CliError => ({ kind: 'publish-failed', error }));
};

/** `publish inventory|rules FILE`. */
export const runPublish = async (
  what: string,
  file: string,
  options: LogOptions,
): Promise<Either<CliError, Answer>> => {
  const prepared = logUrl(options).chain((url) =>
    readChange(what, file).map((changeOf) => ({ url, changeOf })),
  );
  if (prepared.isLeft()) return Left(prepared.swap().unsafeCoerce());
  const { url, changeOf } = prepared.unsafeCoerce();
  return withLog(url, (deps) => publish(deps, changeOf, PUBLISH_WITHIN));
};

/** `restore INVENTORY RULES`: for a log that has trimmed the whole configuration. */
export const runRestore = async (
  inventoryFile: string,
  rulesFile: string,
  options: LogOptions,
): Promise<Either<CliError, Answer>> => {
  const prepared = logUrl(options).chain((url) =>
    loadInventory(inventoryFile)
      .chain((upstreams) => loadRules(rulesFile).map((rules) => ({ url, upstreams, rules })))
      .mapLeft(refused),
  );
  if (prepared.isLeft()) return Left(prepared.swap().unsafeCoerce());
  const { url, upstreams, rules } = prepared.unsafeCoerce();
  const config: Config = { version: 0, inventory: Inventory.from(upstreams), rules };
  return withLog(url, (deps) => restore(deps, config, PUBLISH_WITHIN));
};
