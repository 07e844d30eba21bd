import { Inventory } from './inventory';
import { NO_RULES, type Rules } from './rules';

/** The configuration after one of its accepted changes. Immutable. */
export interface Config {
  /** The number of changes accepted so far; 0 before the first. */
  readonly version: number;
  readonly inventory: Inventory;
  readonly rules: Rules;
}

/** The configuration before the first accepted change. */
export const EMPTY_CONFIG: Config = { version: 0, inventory: Inventory.empty, rules: NO_RULES };
