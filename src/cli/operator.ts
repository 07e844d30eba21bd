import { Left, Right, type Either } from 'purify-ts';

import { exchangeJson, loadSettings } from '../adapters';
import { isObject, type Millis } from '../model';

import type { CliError } from './cli-error';
import type { Answer } from './output';

const NODE_TIMEOUT: Millis = 5000;
const DEFAULT_NODE = 'http://127.0.0.1:7082';
const SUCCESS_FROM = 200;
const SUCCESS_TO = 299;

/** Which node a command talks to: by the URL of its operator port, or by its settings. */
export interface NodeOptions {
  readonly node?: string | undefined;
  readonly settings?: string | undefined;
}

const nodeUrl = ({ node, settings }: NodeOptions): Either<CliError, string> => {
  if (node !== undefined) {
    const isUrl = URL.canParse(node) && node.startsWith('http://');
    if (!isUrl) return Left({ kind: 'usage', message: 'give --node as http://IP:PORT' });
    return Right(node.replace(/\/$/, ''));
  }
  if (settings === undefined) return Right(DEFAULT_NODE);
  return loadSettings(settings)
    .mapLeft((error): CliError => ({ kind: 'file-refused', error }))
    .map(({ listen }) => `http://${listen.address}:${listen.operatorPort}`);
};

const cell = (value: unknown): string =>
  typeof value === 'object' ? JSON.stringify(value) : String(value);

const pairs = (value: unknown): readonly string[] =>
  isObject(value) ? Object.entries(value).map(([key, item]) => `${key}=${cell(item)}`) : [];

const rows = (value: unknown): readonly string[] => {
  if (!isObject(value) || !Array.isArray(value.upstreams)) return pairs(value);
  const upstreams: readonly unknown[] = value.upstreams;
  return [`version=${cell(value.version)}`, ...upstreams.map((each) => pairs(each).join(' '))];
};

const ask = async (
  options: NodeOptions,
  method: 'GET' | 'POST',
  path: string,
): Promise<Either<CliError, unknown>> => {
  const found = nodeUrl(options);
  if (found.isLeft()) return found;
  const url = `${found.unsafeCoerce()}${path}`;
  const answer = await exchangeJson({ url, method, timeout: NODE_TIMEOUT });
  return answer
    .mapLeft((): CliError => ({ kind: 'node-unreachable', url }))
    .chain(({ status, body }): Either<CliError, unknown> => {
      const isSuccess = status >= SUCCESS_FROM && status <= SUCCESS_TO;
      return isSuccess ? Right(body) : Left({ kind: 'node-refused', url, status });
    });
};

/** `status`: what a node says of itself. */
export const runStatus = async (options: NodeOptions): Promise<Either<CliError, Answer>> =>
  (await ask(options, 'GET', '/status')).map((value) => ({ value, lines: pairs(value) }));

/** `inventory show`: the inventory that a node has in force. */
export const runInventory = async (
  action: string,
  options: NodeOptions,
): Promise<Either<CliError, Answer>> => {
  if (action !== 'show') return Left({ kind: 'usage', message: 'inventory show' });
  return (await ask(options, 'GET', '/inventory')).map((value) => ({ value, lines: rows(value) }));
};

/** `drain`: has a node finish what it has and take no new work. */
export const runDrain = async (options: NodeOptions): Promise<Either<CliError, Answer>> =>
  (await ask(options, 'POST', '/drain')).map((value) => ({
    value: value ?? { draining: true },
    lines: ['draining'],
  }));
