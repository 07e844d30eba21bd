import { createHash } from 'node:crypto';

import type { LeasedToken } from '../../core/quota';
import type { GatewayConfig, GatewayRoute, GatewayWorkspace, Millis } from '../../model';

import type { GatewayContext } from '../context';
import type { CallerRequest } from '../request/caller-request';
import { withoutHeaders } from '../request/headers';

/** Whether the keys known here may be relied on; `retryAfter` is in milliseconds. */
export type KeyFreshnessResult =
  | { readonly kind: 'fresh' }
  /** The keys were last known to be the store's `age` milliseconds ago; Infinity if never. */
  | { readonly kind: 'stale'; readonly age: Millis; readonly retryAfter: Millis };

/** Tells whether a key that was taken away in the meantime would be known here. */
export interface KeyFreshness {
  /** Resolves at once, or after it has asked for a proof. */
  confirm(): Promise<KeyFreshnessResult>;
  /**
   * Like `confirm`, for a key that is not known here: asks for a proof that may have a newer
   * configuration.
   */
  refresh(): Promise<void>;
}

/** The decision on one request of a workspace with a quota; `retryAfter` is in milliseconds. */
export type QuotaDecision =
  | { readonly kind: 'granted'; readonly token: LeasedToken }
  /** The quota is used up. */
  | { readonly kind: 'exceeded'; readonly retryAfter: Millis }
  /** Nobody could be asked for a token in time. */
  | { readonly kind: 'unavailable'; readonly retryAfter: Millis };

/** Counts the requests of workspaces against their quotas, for all hosts together. */
export interface QuotaGate {
  /** Takes a token for a request that is refused if it takes longer than `maxWait`. */
  take(workspace: GatewayWorkspace, maxWait: Millis): Promise<QuotaDecision>;
  /** Gives back the token of a request that has not run and never will. */
  giveBack(workspace: GatewayWorkspace, token: LeasedToken): void;
}

/** The reply to a request that is not served. */
export type AccessRefusal =
  | { readonly kind: 'unauthorized' }
  | { readonly kind: 'over-quota'; readonly retryAfter: Millis }
  | { readonly kind: 'refused'; readonly why: string; readonly retryAfter: Millis };

/** Whether a request may be served; `request` is in the form in which it goes on. */
export type AccessDecision =
  | { readonly kind: 'allowed'; readonly request: CallerRequest }
  | { readonly kind: 'denied'; readonly request: CallerRequest; readonly reply: AccessRefusal };

/**
 * Longest wait for a token, as a ratio of the latency objective: a request that gets one then can
 * still be answered within the objective.
 */
const MAX_TOKEN_WAIT_OBJECTIVE_RATIO = 0.25;
/** Length in hexadecimal digits of the digest that stands for a key in log lines. */
const KEY_DIGEST_DIGITS = 12;

/** Returns what stands for a key in log lines, as the key itself must not. */
export const keyDigestOf = (key: string): string =>
  createHash('sha256').update(key).digest('hex').slice(0, KEY_DIGEST_DIGITS);

const denied = (request: CallerRequest, reply: AccessRefusal): AccessDecision => ({
  kind: 'denied',
  request,
  reply,
});

/**
 * Decides which requests are served where the configuration has workspaces, and in whose name. In
 * other configurations the headers of keys and workspaces are forwarded like any others.
 */
export class WorkspaceAccess {
  constructor(
    private readonly context: GatewayContext,
    private readonly freshness: KeyFreshness,
    private readonly quotas: QuotaGate,
    /** Returns the configuration in force. */
    private readonly config: () => GatewayConfig | undefined,
  ) {}

  /** Decides on a request of `route`. */
  async decide(received: CallerRequest, route: GatewayRoute): Promise<AccessDecision> {
    if (!this.config()?.workspacesByKey) return { kind: 'allowed', request: received };
    const request = this.withoutKey(received);
    if (route.isPublic) return { kind: 'allowed', request: { ...request, apiKey: undefined } };
    const { apiKey } = request;
    if (apiKey === undefined) return denied(request, { kind: 'unauthorized' });
    if (!this.workspaceOf(apiKey)) await this.freshness.refresh();
    if (!this.workspaceOf(apiKey)) return denied(request, { kind: 'unauthorized' });
    const proof = await this.freshness.confirm();
    if (proof.kind === 'stale') {
      const { retryAfter } = proof;
      return denied(request, { kind: 'refused', why: 'keys-stale', retryAfter });
    }
    // The proof may have come with a configuration that no longer has the key.
    const workspace = this.workspaceOf(apiKey);
    if (!workspace) return denied(request, { kind: 'unauthorized' });
    return this.takeToken(this.named(request, workspace), workspace, route);
  }

  private workspaceOf(apiKey: string): GatewayWorkspace | undefined {
    return this.config()?.workspacesByKey?.get(apiKey);
  }

  /** Returns the request without the headers of keys and workspaces, and with its only key. */
  private withoutKey(request: CallerRequest): CallerRequest {
    const { apiKey, workspace } = this.context.headerConventions;
    const { kept, removed } = withoutHeaders(request.rawHeaders, new Set([apiKey, workspace]));
    const keys = removed.filter(({ name }) => name === apiKey);
    const [only] = keys;
    const isUsable = keys.length === 1 && only?.value !== '';
    return { ...request, rawHeaders: kept, apiKey: isUsable ? only?.value : undefined };
  }

  /** Returns the request in the name of its workspace. */
  private named(request: CallerRequest, workspace: GatewayWorkspace): CallerRequest {
    const { workspace: header } = this.context.headerConventions;
    const rawHeaders = [...request.rawHeaders, header, workspace.name];
    return { ...request, rawHeaders, workspace };
  }

  private async takeToken(
    request: CallerRequest,
    workspace: GatewayWorkspace,
    route: GatewayRoute,
  ): Promise<AccessDecision> {
    if (!workspace.quota) return { kind: 'allowed', request };
    const maxWait = MAX_TOKEN_WAIT_OBJECTIVE_RATIO * route.latencyObjective;
    const decision = await this.quotas.take(workspace, maxWait);
    switch (decision.kind) {
      case 'granted': {
        let isHeld = true;
        const giveBack = (): void => {
          if (isHeld) this.quotas.giveBack(workspace, decision.token);
          isHeld = false;
        };
        return { kind: 'allowed', request: { ...request, quotaToken: { giveBack } } };
      }
      case 'exceeded':
        return denied(request, { kind: 'over-quota', retryAfter: decision.retryAfter });
      case 'unavailable':
        return denied(request, {
          kind: 'refused',
          why: 'quota-unavailable',
          retryAfter: decision.retryAfter,
        });
    }
  }
}
