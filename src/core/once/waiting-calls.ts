/** Calls that wait, alone or together, for the same thing. */
import type { CallId } from '../../model';

/** Holds each waiting call under the name of what it waits for. */
export class WaitingCalls<T extends { readonly callId: CallId }> {
  private readonly calls = new Map<CallId, { readonly call: T; readonly on: string }>();

  private readonly groups = new Map<string, Set<CallId>>();

  get size(): number {
    return this.calls.size;
  }

  add(on: string, call: T): void {
    this.calls.set(call.callId, { call, on });
    const group = this.groups.get(on);
    if (group) group.add(call.callId);
    else this.groups.set(on, new Set([call.callId]));
  }

  /** Takes one call out; undefined when it does not wait. */
  remove(callId: CallId): T | undefined {
    const held = this.calls.get(callId);
    if (!held) return undefined;
    this.calls.delete(callId);
    const group = this.groups.get(held.on);
    group?.delete(callId);
    if (group?.size === 0) this.groups.delete(held.on);
    return held.call;
  }

  /** The calls that wait on one thing, in order of arrival. */
  on(name: string): readonly T[] {
    return [...(this.groups.get(name) ?? [])].flatMap((id) => this.calls.get(id)?.call ?? []);
  }

  /** Takes out all calls that wait on one thing. */
  release(name: string): readonly T[] {
    const calls = this.on(name);
    calls.forEach(({ callId }) => this.remove(callId));
    return calls;
  }
}
