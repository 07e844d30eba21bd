import { Left, Right, type Either } from 'purify-ts';

import { exchangeJson, loadSettings } from '../adapters';
import { isObject, type Millis } from '../model';

import type { CliError } from './cli-error';
import type { CommandOutput } from './output';

/** Time limit of one request to a node. */
const NODE_TIMEOUT_MS: Millis = 5000;
/** The URL used if neither --node nor --settings is given. */
const DEFAULT_NODE_URL = 'http://127.0.0.1:7082';
const MIN_SUCCESS_STATUS = 200;
const MAX_SUCCESS_STATUS = 299;

/**
 * Selects the node that a command talks to: by the URL of its operator port or by its settings
 * file.
 */
export interface NodeOptions {
  readonly node?: string | undefined;
  readonly settings?: string | undefined;
}

const nodeUrl = ({ node, settings }: NodeOptions): Either<CliError, string> => {
  if (node !== undefined) {
    const isUrl = URL.canParse(node) && node.startsWith('http://');
    if (!isUrl) return Left({ kind: 'usage', message: 'expected --node as http://IP:PORT' });
    return Right(node.replace(/\/$/, ''));
  }
  if (settings === undefined) return Right(DEFAULT_NODE_URL);
  return loadSettings(settings)
    .mapLeft((error): CliError => ({ kind: 'file-refused', error }))
    .map(({ listen }) => `http://${listen.address}:${listen.operatorPort}`);
};

const formatValue = (value: unknown): string =>
  typeof value === 'object' ? JSON.stringify(value) : String(value);

const formatPairs = (value: unknown): readonly string[] =>
  isObject(value) ? Object.entries(value).map(([key, item]) => `${key}=${formatValue(item)}`) : [];

const formatLines = (value: unknown): readonly string[] => {
  if (!isObject(value) || !Array.isArray(value.upstreams)) return formatPairs(value);
  const upstreams: readonly unknown[] = value.upstreams;
  return [
    `version=${formatValue(value.version)}`,
    ...upstreams.map((each) => formatPairs(each).join(' ')),
  ];
};

const requestNode = async (
  options: NodeOptions,
  method: 'GET' | 'POST',
  path: string,
): Promise<Either<CliError, unknown>> => {
  const found = nodeUrl(options);
  if (found.isLeft()) return found;
  const url = `${found.unsafeCoerce()}${path}`;
  const answer = await exchangeJson({ url, method, timeout: NODE_TIMEOUT_MS });
  return answer
    .mapLeft((): CliError => ({ kind: 'node-unreachable', url }))
    .chain(({ status, body }): Either<CliError, unknown> => {
      const isSuccess = status >= MIN_SUCCESS_STATUS && status <= MAX_SUCCESS_STATUS;
      return isSuccess ? Right(body) : Left({ kind: 'node-refused', url, status });
    });
};

/** Runs `status`: shows the state that a node reports about itself. */
export const runStatus = async (options: NodeOptions): Promise<Either<CliError, CommandOutput>> =>
  (await requestNode(options, 'GET', '/status')).map((value) => ({
    value,
    lines: formatPairs(value),
  }));

/** Runs `inventory show`: shows the inventory in force at a node. */
export const runInventory = async (
  action: string,
  options: NodeOptions,
): Promise<Either<CliError, CommandOutput>> => {
  if (action !== 'show') return Left({ kind: 'usage', message: 'inventory show' });
  return (await requestNode(options, 'GET', '/inventory')).map((value) => ({
    value,
    lines: formatLines(value),
  }));
};

/** Runs `drain`: tells a node to finish its requests and accept no new ones. */
export const runDrain = async (options: NodeOptions): Promise<Either<CliError, CommandOutput>> =>
  (await requestNode(options, 'POST', '/drain')).map((value) => ({
    value: value ?? { draining: true },
    lines: ['draining'],
  }));
