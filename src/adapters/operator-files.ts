/** Reads the files that operators publish: inventory and rules. */
export { loadInventory, parseInventory } from './inventory-file';
export { loadRules, parseRules } from './rules-file';
