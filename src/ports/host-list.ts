import type { Either } from 'purify-ts';

import type { DataCentre, Instant, NodeAddress } from '../model';

/** An entry of the platform's list of hosts, which may be out of date. */
export interface ListedHost extends NodeAddress {
  readonly dataCentre: DataCentre;
  readonly leaving: boolean;
}

export type HostListError =
  { readonly kind: 'host-list-unavailable' } | { readonly kind: 'host-list-malformed' };

/** Reads the platform's list of live and leaving hosts. */
export interface HostList {
  read(deadline: Instant): Promise<Either<HostListError, readonly ListedHost[]>>;
}
