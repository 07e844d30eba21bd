import type { CallId } from '../../model';

/** Groups waiting calls by the name of the key, run or home that they wait for. */
export class WaitingCalls<T extends { readonly callId: CallId }> {
  private readonly calls = new Map<CallId, { readonly call: T; readonly waitingFor: string }>();

  private readonly groups = new Map<string, Set<CallId>>();

  get size(): number {
    return this.calls.size;
  }

  add(waitingFor: string, call: T): void {
    this.calls.set(call.callId, { call, waitingFor });
    const group = this.groups.get(waitingFor);
    if (group) group.add(call.callId);
    else this.groups.set(waitingFor, new Set([call.callId]));
  }

  /** Removes one call and returns it; undefined when it was not waiting. */
  remove(callId: CallId): T | undefined {
    const held = this.calls.get(callId);
    if (!held) return undefined;
    this.calls.delete(callId);
    const group = this.groups.get(held.waitingFor);
    group?.delete(callId);
    if (group?.size === 0) this.groups.delete(held.waitingFor);
    return held.call;
  }

  /** Returns the calls that wait for `name`, in order of arrival. */
  waitingFor(name: string): readonly T[] {
    return [...(this.groups.get(name) ?? [])].flatMap((id) => this.calls.get(id)?.call ?? []);
  }

  /** Removes and returns all calls that wait for `name`. */
  release(name: string): readonly T[] {
    const calls = this.waitingFor(name);
    calls.forEach(({ callId }) => this.remove(callId));
    return calls;
  }
}
