import { readFileSync } from 'node:fs';
import { parse, TomlError as SyntaxError } from 'smol-toml';
import { Either, Left, Right } from 'purify-ts';

import type { TomlError, TomlProblemKind } from './toml-error';
import type { TomlField } from './toml-fields';

/** The checks of a table's fields, by key. A table may have no other key. */
export type TomlFields<T> = { readonly [K in keyof T]-?: TomlField<T[K]> };

type ParsedTable = Readonly<Record<string, unknown>>;

const MAX_FILE_BYTES = 64 * 2 ** 20;

/** Escapes the characters that have a meaning in a regular expression. */
const escapeRegExp = (text: string): string => text.replace(/[\\^$.*+?()[\]{}|]/g, '\\$&');

const isTable = (value: unknown): value is ParsedTable =>
  typeof value === 'object' && value !== null && !Array.isArray(value) && !(value instanceof Date);

/** One table of a file: `[listen]`, or one entry of `[[upstream]]`. */
export class TomlTable {
  constructor(
    private readonly document: TomlDocument,
    /** The name between the brackets; empty for the file's top level. */
    private readonly header: string,
    /** The index of the entry in an array of tables, from 0; undefined for a plain table. */
    private readonly index: number | undefined,
    private readonly entries: ParsedTable,
  ) {}

  /** Returns an error that refuses `key` of this table and gives its line. */
  errorAt(kind: TomlProblemKind, key: string, fix: string): TomlError {
    const prefix = this.index === undefined ? this.header : `${this.header}[${this.index + 1}]`;
    const dottedKey = prefix === '' ? key : `${prefix}.${key}`;
    const line = this.document.lineOf(this.header, this.index ?? 0, key);
    return { kind, file: this.document.file, line, key: dottedKey, fix };
  }

  /**
   * Reads all fields. The error is that of the first unknown key, or else of the first bad value.
   */
  read<T>(fields: TomlFields<T>): Either<TomlError, T> {
    const known = Object.keys(fields);
    const unknown = Object.keys(this.entries).find((key) => !known.includes(key));
    if (unknown !== undefined) {
      return Left(this.errorAt('unknown-key', unknown, `use one of ${known.join(', ')}`));
    }
    const values: Partial<T> = {};
    for (const key of known as (keyof T & string)[]) {
      const value = fields[key](this.entries[key]);
      if (value.isLeft()) {
        const problem = value.extract() as TomlError;
        return Left(this.errorAt(problem.kind, key, problem.fix));
      }
      values[key] = value.unsafeCoerce();
    }
    return Right(values as T);
  }
}

/** A TOML file that an operator wrote, parsed but not yet checked. */
export class TomlDocument {
  private readonly lines: readonly string[];

  private constructor(
    readonly file: string,
    source: string,
    private readonly root: ParsedTable,
  ) {
    this.lines = source.split('\n');
  }

  /** Parses a file's text. `file` names it in errors. */
  static parse(file: string, source: string): Either<TomlError, TomlDocument> {
    try {
      return Right(new TomlDocument(file, source, parse(source)));
    } catch (err) {
      const line = err instanceof SyntaxError ? err.line : 0;
      const cause = err instanceof Error ? err.message.split('\n')[0] : 'not a TOML document';
      return Left({
        kind: 'syntax',
        file,
        line,
        key: '',
        fix: `correct the TOML syntax: ${cause}`,
      });
    }
  }

  /** Reads and parses a file. */
  static load(file: string): Either<TomlError, TomlDocument> {
    return Either.encase(() => readFileSync(file))
      .chain((content) => (content.length > MAX_FILE_BYTES ? Left(undefined) : Right(content)))
      .mapLeft((): TomlError => ({
        kind: 'unreadable',
        file,
        line: 0,
        key: '',
        fix: 'give a file of at most 64 MB that this process may read',
      }))
      .chain((content) => TomlDocument.parse(file, content.toString('utf8')));
  }

  /** Returns this document, or an error if its top level has a key other than these. */
  allowOnlyKeys(keys: readonly string[]): Either<TomlError, this> {
    const unknown = Object.keys(this.root).find((key) => !keys.includes(key));
    if (unknown === undefined) return Right(this);
    return Left(this.topLevel().errorAt('unknown-key', unknown, `use one of ${keys.join(', ')}`));
  }

  /** Returns the plain keys of the file's top level. `table` and `tables` give its tables. */
  topLevel(): TomlTable {
    const plain = Object.entries(this.root).filter(
      ([, value]) => !isTable(value) && !Array.isArray(value),
    );
    return new TomlTable(this, '', undefined, Object.fromEntries(plain));
  }

  /** Returns the table `[header]`; an empty one if the file lacks it. */
  table(header: string): Either<TomlError, TomlTable> {
    const value = this.root[header] ?? {};
    if (isTable(value)) return Right(new TomlTable(this, header, undefined, value));
    return Left(this.topLevel().errorAt('wrong-type', header, `write it as a table, [${header}]`));
  }

  /** Returns the entries `[[header]]` in the order of the file. */
  tables(header: string): Either<TomlError, readonly TomlTable[]> {
    const value = this.root[header] ?? [];
    if (!Array.isArray(value) || !value.every(isTable)) {
      return Left(
        this.topLevel().errorAt('wrong-type', header, `write it as entries, [[${header}]]`),
      );
    }
    return Right(value.map((entry, index) => new TomlTable(this, header, index, entry)));
  }

  /**
   * Returns the line of a key, from 1; that of its table if the key is absent, 0 if neither is
   * found. `index` counts the tables with this header, from 0.
   */
  lineOf(header: string, index: number, key: string): number {
    const start = header === '' ? 0 : this.headerLineIndex(header, index);
    if (start < 0) return 0;
    const name = escapeRegExp(key);
    const pattern = new RegExp(`^\\s*(\\[+\\s*)?["']?${name}["']?\\s*[=.\\]]`);
    for (let at = start; at < this.lines.length; at++) {
      const line = this.lines[at] ?? '';
      if (at > start && header !== '' && /^\s*\[/.test(line)) break;
      if (pattern.test(line)) return at + 1;
    }
    return header === '' ? 0 : start + 1;
  }

  /** Returns the index in `lines` of a table's header; -1 if it is not found. */
  private headerLineIndex(header: string, index: number): number {
    const pattern = new RegExp(`^\\s*\\[{1,2}\\s*["']?${header}["']?\\s*\\]`);
    let seen = 0;
    return this.lines.findIndex((line) => {
      if (!pattern.test(line)) return false;
      seen += 1;
      return seen > index;
    });
  }
}
