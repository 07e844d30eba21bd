import type { Either } from 'purify-ts';

import { describeCliError, EXIT, exitCodeOf, type CliError } from './cli-error';

/** Writes lines to standard output and standard error; tests pass their own. */
export interface OutputWriter {
  out(line: string): void;
  err(line: string): void;
}

/** The output of a command: a value for scripts, printed as JSON, and lines for people. */
export interface CommandOutput {
  readonly value: unknown;
  readonly lines: readonly string[];
}

/** Writes a command's output or error and returns its exit code. */
export const writeResult = (
  output: OutputWriter,
  result: Either<CliError, CommandOutput>,
  isJson: boolean,
): number =>
  result.caseOf({
    Left: (error) => {
      if (isJson) output.out(JSON.stringify({ error }));
      output.err(describeCliError(error));
      return exitCodeOf(error);
    },
    Right: ({ value, lines }) => {
      if (isJson) output.out(JSON.stringify(value));
      else lines.forEach((line) => output.out(line));
      return EXIT.ok;
    },
  });
