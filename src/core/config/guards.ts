/** Type guards for configuration values that were read from the log or from a peer. */
import {
  isArrayOf,
  isCount,
  isObject,
  type ConfigChange,
  type Delta,
  type Guard,
  type NodeAddress,
  type Route,
  type Rules,
  type ServiceRules,
  type Tip,
  type Upstream,
  type Workspace,
} from '../../model';

/** Maximum length of a text in UTF-16 code units. */
const MAX_TEXT_LENGTH = 4096;
const MAX_PORT = 65535;

const isText = (value: unknown): value is string =>
  typeof value === 'string' && value.length > 0 && value.length <= MAX_TEXT_LENGTH;

const isOptionalText = (value: unknown): boolean => value === undefined || isText(value);

const isNumber = (value: unknown, min: number, max: number): value is number =>
  typeof value === 'number' && value >= min && value <= max;

const isPort = (value: unknown): boolean => isCount(value) && isNumber(value, 1, MAX_PORT);

export const isUpstream = (value: unknown): value is Upstream =>
  isObject(value) &&
  isText(value.id) &&
  isText(value.service) &&
  isText(value.dataCentre) &&
  isText(value.address) &&
  isPort(value.port) &&
  isCount(value.slots) &&
  value.slots > 0 &&
  isCount(value.connections) &&
  value.connections > 0;

export const isServiceRules = (value: unknown): value is ServiceRules =>
  isObject(value) &&
  isText(value.name) &&
  isNumber(value.floor, 0, 1) &&
  isNumber(value.costRatio, 0, Number.MAX_SAFE_INTEGER) &&
  isNumber(value.queuePerSlot, 0, Number.MAX_SAFE_INTEGER) &&
  isNumber(value.retryRatio, 0, 1);

export const isRoute = (value: unknown): value is Route =>
  isObject(value) &&
  isText(value.method) &&
  isText(value.pathPrefix) &&
  isText(value.service) &&
  typeof value.idempotent === 'boolean' &&
  isNumber(value.timeout, 1, Number.MAX_SAFE_INTEGER) &&
  isOptionalText(value.group);

export const isWorkspace = (value: unknown): value is Workspace =>
  isObject(value) &&
  isText(value.name) &&
  isNumber(value.weight, Number.MIN_VALUE, Number.MAX_SAFE_INTEGER) &&
  isOptionalText(value.group);

export const isRules = (value: unknown): value is Rules =>
  isObject(value) &&
  isArrayOf(value.services, isServiceRules) &&
  isArrayOf(value.routes, isRoute) &&
  isArrayOf(value.workspaces, isWorkspace);

const isDelta = <T>(value: unknown, guard: Guard<T>): value is Delta<T, string> =>
  isObject(value) && isArrayOf(value.put, guard) && isArrayOf(value.removed, isText);

export const isChange = (value: unknown): value is ConfigChange => {
  if (!isObject(value)) return false;
  switch (value.kind) {
    case 'inventory-delta':
      return isDelta(value, isUpstream);
    case 'inventory':
      return isArrayOf(value.upstreams, isUpstream);
    case 'rules-delta':
      return (
        isDelta(value.services, isServiceRules) &&
        isDelta(value.routes, isRoute) &&
        isDelta(value.workspaces, isWorkspace)
      );
    case 'rules':
      return isRules(value.rules);
    default:
      return false;
  }
};

export const isTip = (value: unknown): value is Tip =>
  isObject(value) && isCount(value.version) && isText(value.chain) && isCount(value.through);

export const isNodeAddress = (value: unknown): value is NodeAddress =>
  isObject(value) && isText(value.address) && isPort(value.callerPort) && isPort(value.peerPort);

export { isArrayOf, isCount, isObject, isText };
