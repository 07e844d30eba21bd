import { peerKey, type NodeAddress } from '../../model';

/** Describes a host as the platform lists it; `leaving` when the host is to be taken away. */
export interface HostRecord extends NodeAddress {
  readonly leaving: boolean;
}

/** Describes how a host list differs from the one before. */
export interface HostListChange {
  /** Hosts listed as leaving that were listed before and not leaving. */
  readonly startedLeaving: readonly HostRecord[];
  /** Hosts that are no longer listed. */
  readonly removed: readonly HostRecord[];
}

/** Holds the last host list, whose hosts serve as contact points for joining the fleet. */
export class Seeds {
  private hosts: ReadonlyMap<string, HostRecord> = new Map();

  /** Replaces the host list and returns what changed. */
  update(records: readonly HostRecord[]): HostListChange {
    const before = this.hosts;
    this.hosts = new Map(records.map((record) => [peerKey(record), record]));
    return {
      startedLeaving: records.filter(
        (record) => record.leaving && before.get(peerKey(record))?.leaving === false,
      ),
      removed: [...before.values()].filter((record) => !this.hosts.has(peerKey(record))),
    };
  }

  isLeaving(node: NodeAddress): boolean {
    return this.hosts.get(peerKey(node))?.leaving ?? false;
  }

  /** Returns the listed hosts that are not leaving and for which `isKnown` returns false. */
  unknownHosts(isKnown: (address: NodeAddress) => boolean): readonly HostRecord[] {
    return [...this.hosts.values()].filter((record) => !record.leaving && !isKnown(record));
  }
}
