import { expect } from 'earl';
import { existsSync, readdirSync, readFileSync } from 'node:fs';
import { dirname, join, normalize } from 'node:path';
import { describe, it } from 'node:test';

const RELATIVE_IMPORT = /\bfrom '(\.[^']*)'/g;

const modules = (folder: string): readonly string[] =>
  readdirSync(folder, { recursive: true, encoding: 'utf8' })
    .filter((name) => name.endsWith('.ts'))
    .map((name) => join(folder, name));

const importsOf = (file: string): readonly string[] =>
  [...readFileSync(file, 'utf8').matchAll(RELATIVE_IMPORT)].flatMap(([, target = '']) => {
    const path = normalize(join(dirname(file), target));
    return [`${path}.ts`, join(path, 'index.ts')].filter(existsSync).slice(0, 1);
  });

/** Returns a cycle of imports that is reached from `start`; undefined if there is none. */
const findCycle = (
  start: string,
  graph: ReadonlyMap<string, readonly string[]>,
  done: Set<string>,
  path: readonly string[] = [],
): readonly string[] | undefined => {
  const at = path.indexOf(start);
  if (at >= 0) return path.slice(at);
  if (done.has(start)) return undefined;
  for (const next of graph.get(start) ?? []) {
    const cycle = findCycle(next, graph, done, [...path, start]);
    if (cycle) return cycle;
  }
  done.add(start);
  return undefined;
};

/** Guards against parts that can't be read one after the other; the linter leaves out types. */
describe('the modules of the product', () => {
  it('import each other in no circle, types included', () => {
    const files = [...modules('src'), ...modules('platform')];
    const graph = new Map(files.map((file) => [file, importsOf(file)]));
    const done = new Set<string>();
    expect(files.map((file) => findCycle(file, graph, done)).filter(Boolean)).toEqual([]);
  });

  it('stand in folders of the gateway that import each other in no circle', () => {
    const files = modules('src/gateway');
    const folders = [...new Set(files.map(dirname))];
    const graph = new Map(
      folders.map((folder) => {
        const imports = files.filter((file) => dirname(file) === folder).flatMap(importsOf);
        const others = imports.map(dirname).filter((other) => other !== folder);
        return [folder, others.filter((other) => folders.includes(other))];
      }),
    );
    // The gateway's own folder has what all others import, and the module that builds them all.
    graph.set(join('src', 'gateway'), []);
    const done = new Set<string>();
    expect(folders.map((folder) => findCycle(folder, graph, done)).filter(Boolean)).toEqual([]);
  });
});
