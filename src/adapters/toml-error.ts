/** The kinds of faults in an operator's file. */
export type TomlProblemKind =
  | 'unreadable'
  | 'syntax'
  | 'unknown-key'
  | 'missing-key'
  | 'wrong-type'
  | 'wrong-unit'
  | 'out-of-range'
  | 'duplicate'
  | 'overlap'
  | 'unreachable'
  | 'unknown-name';

/** The reason why an operator's file was refused. */
export interface TomlError {
  readonly kind: TomlProblemKind;
  readonly file: string;
  /** The line, from 1; 0 if it is not known. */
  readonly line: number;
  /** The dotted key, with the number of an entry from 1 in brackets: `upstream[3].slots`. */
  readonly key: string;
  /** What the operator should do, as an instruction: `use 1 to 65535`. */
  readonly fix: string;
}

/** Formats an error as one line: `node.toml:4: listen.peerPort: out-of-range: use 1 to 65535`. */
export const describeTomlError = (err: TomlError): string => {
  const place = err.line > 0 ? `${err.file}:${err.line}` : err.file;
  const key = err.key === '' ? '' : `${err.key}: `;
  return `${place}: ${key}${err.kind}: ${err.fix}`;
};
