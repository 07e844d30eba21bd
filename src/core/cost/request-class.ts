import type { WorkspaceName } from '../../model';

/** The properties of a request that its cost is learned from. */
export interface CostFeatures {
  readonly route: string;
  /** The caller's workspace; undefined without workspaces. */
  readonly workspace: WorkspaceName | undefined;
  /** Path and query as the caller sent them. */
  readonly target: string;
  /** Length of the request's body. */
  readonly bodyBytes: number;
}

/** Number of path segments that a shape keeps; longer paths share the rest. */
const MAX_SHAPE_SEGMENTS = 6;
/** Length from which a segment counts as an identifier rather than a name. */
const MIN_IDENTIFIER_LENGTH = 24;
/** Ratio of the bounds of neighbouring classes of body lengths. */
const SIZE_CLASS_RATIO = 4;
/** Body length in bytes up to which all requests are of one class. */
const SMALL_BODY_BYTES = 256;

const isIdentifier = (segment: string): boolean =>
  segment.length >= MIN_IDENTIFIER_LENGTH || /\d/.test(segment);

/** Returns the path without its query and with `*` in place of identifiers. */
export const pathShape = (target: string): string => {
  const end = target.indexOf('?');
  return (end < 0 ? target : target.slice(0, end))
    .split('/', MAX_SHAPE_SEGMENTS + 1)
    .map((segment) => (isIdentifier(segment) ? '*' : segment))
    .join('/');
};

/** Returns the ordinal of the class of body lengths, 0 for the shortest. */
export const sizeClass = (bodyBytes: number): number =>
  Math.max(0, Math.ceil(Math.log(bodyBytes / SMALL_BODY_BYTES) / Math.log(SIZE_CLASS_RATIO)));

/** The keys of the classes that a request belongs to. */
export interface ClassKeys {
  readonly route: string;
  /** Narrower classes, any of which may predict better than the route. */
  readonly narrower: readonly string[];
}

/** Returns the classes of a request: its route, and those narrower by one property or by all. */
export const classKeysOf = (features: CostFeatures): ClassKeys => {
  const { route, workspace = '', target, bodyBytes } = features;
  const shape = pathShape(target);
  const size = sizeClass(bodyBytes);
  return {
    route,
    narrower: [
      JSON.stringify([route, 'shape', shape]),
      JSON.stringify([route, 'size', size]),
      ...(workspace === '' ? [] : [JSON.stringify([route, 'workspace', workspace])]),
      JSON.stringify([route, 'all', workspace, shape, size]),
    ],
  };
};
