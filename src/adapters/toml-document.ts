import { readFileSync } from 'node:fs';
import { parse, TomlError as SyntaxError } from 'smol-toml';
import { Either, Left, Right } from 'purify-ts';

import type { TomlError, TomlProblemKind } from './toml-error';
import type { TomlField } from './toml-fields';

/** The fields that a table may have, by key. */
export type Fields<T> = { readonly [K in keyof T]-?: TomlField<T[K]> };

type Table = Readonly<Record<string, unknown>>;

const MAX_FILE_BYTES = 64 * 2 ** 20;

const escape = (text: string): string => text.replace(/[\\^$.*+?()[\]{}|]/g, '\\$&');

const isTable = (value: unknown): value is Table =>
  typeof value === 'object' && value !== null && !Array.isArray(value) && !(value instanceof Date);

/** One table of a file: `[listen]`, or one entry of `[[upstream]]`. */
export class TomlTable {
  constructor(
    private readonly document: TomlDocument,
    private readonly header: string,
    /** Number of the entry in an array of tables, from 0; absent for a plain table. */
    private readonly index: number | undefined,
    private readonly entries: Table,
  ) {}

  /** The error that this table's `key` is wrong in the given way. */
  fail(kind: TomlProblemKind, key: string, fix: string): TomlError {
    const prefix = this.index === undefined ? this.header : `${this.header}[${this.index + 1}]`;
    const dotted = prefix === '' ? key : `${prefix}.${key}`;
    const line = this.document.lineOf(this.header, this.index ?? 0, key);
    return { kind, file: this.document.file, line, key: dotted, fix };
  }

  /** Reads all fields; the first unknown key or wrong value is the error. */
  read<T>(fields: Fields<T>): Either<TomlError, T> {
    const known = Object.keys(fields);
    const unknown = Object.keys(this.entries).find((key) => !known.includes(key));
    if (unknown !== undefined) {
      return Left(this.fail('unknown-key', unknown, `use one of ${known.join(', ')}`));
    }
    const values: Partial<T> = {};
    for (const key of known as (keyof T & string)[]) {
      const value = fields[key](this.entries[key]);
      if (value.isLeft()) {
        const problem = value.extract() as TomlError;
        return Left(this.fail(problem.kind, key, problem.fix));
      }
      values[key] = value.unsafeCoerce();
    }
    return Right(values as T);
  }
}

/** An operators' TOML file, parsed but not yet checked. */
export class TomlDocument {
  private readonly lines: readonly string[];

  private constructor(
    readonly file: string,
    source: string,
    private readonly root: Table,
  ) {
    this.lines = source.split('\n');
  }

  static parse(file: string, source: string): Either<TomlError, TomlDocument> {
    try {
      return Right(new TomlDocument(file, source, parse(source)));
    } catch (err) {
      const line = err instanceof SyntaxError ? err.line : 0;
      const cause = err instanceof Error ? err.message.split('\n')[0] : 'not TOML';
      return Left({ kind: 'syntax', file, line, key: '', fix: `correct the TOML: ${cause}` });
    }
  }

  static load(file: string): Either<TomlError, TomlDocument> {
    return Either.encase(() => readFileSync(file))
      .chain((content) => (content.length > MAX_FILE_BYTES ? Left(undefined) : Right(content)))
      .mapLeft((): TomlError => ({
        kind: 'unreadable',
        file,
        line: 0,
        key: '',
        fix: 'name a file of at most 64 MB that this process may read',
      }))
      .chain((content) => TomlDocument.parse(file, content.toString('utf8')));
  }

  /** Refuses keys of the file's top level other than these. */
  only(keys: readonly string[]): Either<TomlError, this> {
    const unknown = Object.keys(this.root).find((key) => !keys.includes(key));
    if (unknown === undefined) return Right(this);
    return Left(this.top().fail('unknown-key', unknown, `use one of ${keys.join(', ')}`));
  }

  /** The file's top level. Its tables are read by `table` and `tables`. */
  top(): TomlTable {
    const plain = Object.entries(this.root).filter(
      ([, value]) => !isTable(value) && !Array.isArray(value),
    );
    return new TomlTable(this, '', undefined, Object.fromEntries(plain));
  }

  /** The table `[header]`; empty when absent. */
  table(header: string): Either<TomlError, TomlTable> {
    const value = this.root[header] ?? {};
    if (isTable(value)) return Right(new TomlTable(this, header, undefined, value));
    return Left(this.top().fail('wrong-type', header, `write it as a table, [${header}]`));
  }

  /** The entries `[[header]]` in the order of the file. */
  tables(header: string): Either<TomlError, readonly TomlTable[]> {
    const value = this.root[header] ?? [];
    if (!Array.isArray(value) || !value.every(isTable)) {
      return Left(this.top().fail('wrong-type', header, `write it as entries, [[${header}]]`));
    }
    return Right(value.map((entry, index) => new TomlTable(this, header, index, entry)));
  }

  /** The line of a key, or of its table when the key is absent; 0 when neither is found. */
  lineOf(header: string, index: number, key: string): number {
    const start = header === '' ? 0 : this.headerLine(header, index);
    if (start < 0) return 0;
    const name = escape(key);
    const pattern = new RegExp(`^\\s*(\\[+\\s*)?["']?${name}["']?\\s*[=.\\]]`);
    for (let at = start; at < this.lines.length; at++) {
      const line = this.lines[at] ?? '';
      if (at > start && header !== '' && /^\s*\[/.test(line)) break;
      if (pattern.test(line)) return at + 1;
    }
    return header === '' ? 0 : start + 1;
  }

  private headerLine(header: string, index: number): number {
    const pattern = new RegExp(`^\\s*\\[{1,2}\\s*["']?${header}["']?\\s*\\]`);
    let seen = 0;
    return this.lines.findIndex((line) => {
      if (!pattern.test(line)) return false;
      seen += 1;
      return seen > index;
    });
  }
}
