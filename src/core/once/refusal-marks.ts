/** Remembers which keys a full ledger has refused, in constant space per workspace. */
import type { Instant, WorkspaceName } from '../../model';

/** Maximum number of workspaces with a mark of their own; the others share one. */
const MAX_MARKED_WORKSPACE_COUNT = 1024;

/** Pairs of a workspace and the start deadline up to which it refuses keys without an entry. */
export type MarkList = readonly (readonly [WorkspaceName, Instant])[];

/**
 * Holds one mark per workspace. A key refused without an entry raises the mark to the key's start
 * deadline, so that all keys without an entry up to that deadline stay refused. Keys whose prefix
 * was issued later have deadlines above the mark.
 */
export class RefusalMarks {
  private readonly marks: Map<WorkspaceName, Instant>;

  constructor(
    marks: MarkList = [],
    /** Mark that applies to all workspaces, for those beyond the maximum; -1 when unset. */
    private shared: Instant = -1,
  ) {
    this.marks = new Map(marks);
  }

  raise(workspace: WorkspaceName, startBefore: Instant): void {
    const mark = this.marks.get(workspace);
    if (mark === undefined && this.marks.size >= MAX_MARKED_WORKSPACE_COUNT) {
      this.shared = Math.max(this.shared, startBefore);
      return;
    }
    this.marks.set(workspace, Math.max(mark ?? -1, startBefore));
  }

  /** Returns whether a key without an entry was or may have been refused for lack of room. */
  covers(workspace: WorkspaceName, startBefore: Instant): boolean {
    return startBefore <= Math.max(this.shared, this.marks.get(workspace) ?? -1);
  }

  /** Drops marks below `now`: keys with such start deadlines have expired anyway. */
  prune(now: Instant): void {
    this.marks.forEach((mark, workspace) => {
      if (mark < now) this.marks.delete(workspace);
    });
  }

  list(): MarkList {
    return [...this.marks];
  }

  get sharedMark(): Instant {
    return this.shared;
  }
}
