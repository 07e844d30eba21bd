import { describeTomlError, type TomlError } from '../adapters';
import type { StartError } from '../node';
import type { PublishError } from '../tasks';

/** The reason why a command failed. */
export type CliError =
  | { readonly kind: 'usage'; readonly message: string }
  | { readonly kind: 'file-refused'; readonly error: TomlError }
  | { readonly kind: 'file-unreadable'; readonly file: string; readonly detail: string }
  | { readonly kind: 'publish-failed'; readonly error: PublishError }
  | { readonly kind: 'node-unreachable'; readonly url: string }
  | { readonly kind: 'node-refused'; readonly url: string; readonly status: number }
  | { readonly kind: 'start-failed'; readonly error: StartError };

/** The exit codes of the commands; scripts rely on the numbers. */
export const EXIT = {
  ok: 0,
  failed: 1,
  usage: 2,
  fileRefused: 3,
  unavailable: 4,
  conflict: 5,
  unsure: 6,
  configLost: 7,
  fileUnreadable: 8,
} as const;

const describePublishError = (err: PublishError): string => {
  switch (err.kind) {
    case 'log-unavailable':
      return 'the platform log cannot be reached and nothing was published: run this again later';
    case 'conflict':
      return `another change came first and nothing of this one was published: check it against version ${err.version} and run this again`;
    case 'unsure':
      return `the log did not answer and publication ${err.publishId} may still take effect: run this again when the log answers`;
    case 'config-lost':
      return 'the log keeps no checkpoint from which its records can be read: use "restore" with both files';
    case 'config-present':
      return `the log already holds the configuration at version ${err.version}: use "publish"`;
  }
};

/** Returns a one-line description of the error for people. */
export const describeCliError = (err: CliError): string => {
  switch (err.kind) {
    case 'usage':
      return `usage: ${err.message}`;
    case 'file-refused':
      return describeTomlError(err.error);
    case 'file-unreadable':
      return `file-unreadable: ${err.file}: ${err.detail}`;
    case 'publish-failed':
      return `${err.error.kind}: ${describePublishError(err.error)}`;
    case 'node-unreachable':
      return `node-unreachable: no answer from ${err.url}: check --node and that the node runs`;
    case 'node-refused':
      return `node-refused: ${err.url} answered ${err.status}: check that --node is an operator port`;
    case 'start-failed': {
      const { address, port, code } = err.error;
      return `${err.error.kind}: ${address}:${port} ${code}: free the port or change [listen]`;
    }
  }
};

const publishExitCode = (err: PublishError): number => {
  switch (err.kind) {
    case 'log-unavailable':
      return EXIT.unavailable;
    case 'conflict':
      return EXIT.conflict;
    case 'unsure':
      return EXIT.unsure;
    case 'config-lost':
      return EXIT.configLost;
    case 'config-present':
      return EXIT.conflict;
  }
};

/** Returns the exit code for an error. */
export const exitCodeOf = (err: CliError): number => {
  switch (err.kind) {
    case 'usage':
      return EXIT.usage;
    case 'file-refused':
      return EXIT.fileRefused;
    case 'file-unreadable':
      return EXIT.fileUnreadable;
    case 'publish-failed':
      return publishExitCode(err.error);
    case 'node-unreachable':
      return EXIT.unavailable;
    case 'node-refused':
    case 'start-failed':
      return EXIT.failed;
  }
};
