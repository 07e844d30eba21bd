/** Replaced with the package's version by scripts/bundle.mjs. */
declare const REDWINGMOUNT_VERSION: string | undefined;

/** Returns the version of this program; `source` if it runs from source and was not built. */
export const programVersion = (): string =>
  typeof REDWINGMOUNT_VERSION === 'string' ? REDWINGMOUNT_VERSION : 'source';
