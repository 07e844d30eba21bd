import { applyChange, decodeRecord } from '../../src/core';
import { extendChain, EMPTY_CHAIN } from '../../src/core/config/chain';
import { EMPTY_CONFIG, type Config, type Instant } from '../../src/model';

/** One accepted version of the configuration. */
export interface AcceptedVersion {
  readonly acceptedAt: Instant;
  /** The configuration as `contentOf` gives it. */
  readonly content: string;
  /** Hash chain over the accepted publications. */
  readonly chain: string;
}

/** Returns a configuration as text, for comparison. */
export const contentOf = ({ inventory, rules }: Config): string =>
  JSON.stringify([inventory.all(), rules]);

/**
 * Computes the correct configuration: it receives every appended record in order, and decides on
 * acceptance independently of the code under test.
 */
export class ConfigOracle {
  private config: Config = EMPTY_CONFIG;

  private offset = 0;

  private readonly publishIds = new Set<string>();

  private readonly versions: AcceptedVersion[] = [
    { acceptedAt: 0, content: contentOf(EMPTY_CONFIG), chain: EMPTY_CHAIN },
  ];

  get current(): Config {
    return this.config;
  }

  /** Applies the next record. Returns whether it was accepted; throws when it repeats one. */
  applyRecord(value: unknown, now: Instant): boolean {
    const { offset } = this;
    this.offset += 1;
    const record = decodeRecord(value).toMaybe().extractNullable();
    if (record?.kind !== 'change' || record.base !== this.config.version) return false;
    if (this.publishIds.has(record.publishId))
      throw new Error('expected each publishId to be accepted once, got a second acceptance');
    this.publishIds.add(record.publishId);
    const { chain } = this.versions[record.base] ?? { chain: EMPTY_CHAIN };
    this.config = applyChange(this.config, record.change);
    this.versions.push({
      acceptedAt: now,
      content: contentOf(this.config),
      chain: extendChain(chain, offset, record.publishId),
    });
    return true;
  }

  /** Returns an accepted version by its number; version 0 is the empty configuration. */
  version(version: number): AcceptedVersion | undefined {
    return this.versions[version];
  }

  /** Returns the number of the newest version accepted at or before an instant. */
  versionAt(instant: Instant): number {
    let version = this.versions.length - 1;
    while (version > 0 && (this.versions[version]?.acceptedAt ?? 0) > instant) version -= 1;
    return version;
  }
}
