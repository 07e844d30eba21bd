import { Agent } from 'node:http';
import { Left, Right, type Either } from 'purify-ts';

import { isNodeAddress, isText } from '../core/config/guards';
import { isArrayOf, isObject, type Instant } from '../model';
import type { Clock, HostList, HostListError, ListedHost } from '../ports';

import { exchangeJson, type JsonAnswer } from './json-http';

const OK_STATUS = 200;

/** The location of the host list. */
export interface HostListOptions {
  /** The base URL, without a slash at its end. */
  readonly url: string;
  readonly clock: Clock;
}

const isListedHost = (value: unknown): value is ListedHost =>
  isNodeAddress(value) &&
  isObject(value) &&
  isText(value.dataCentre) &&
  typeof value.leaving === 'boolean';

const hostsOf = ({ status, body }: JsonAnswer): Either<HostListError, readonly ListedHost[]> => {
  if (status !== OK_STATUS) return Left({ kind: 'host-list-unavailable' });
  if (!isArrayOf(body, isListedHost)) return Left({ kind: 'host-list-malformed' });
  return Right(
    body.map(({ address, callerPort, peerPort, dataCentre, leaving }) => ({
      address,
      callerPort,
      peerPort,
      dataCentre,
      leaving,
    })),
  );
};

/** Reads the platform's host list over HTTP. One malformed entry makes the whole list malformed. */
export class HttpHostList implements HostList {
  private readonly agent = new Agent({ keepAlive: true, maxSockets: 1 });

  constructor(private readonly options: HostListOptions) {}

  async read(deadline: Instant): Promise<Either<HostListError, readonly ListedHost[]>> {
    const answer = await exchangeJson({
      url: `${this.options.url}/hosts`,
      method: 'GET',
      timeout: Math.max(1, deadline - this.options.clock.now()),
      agent: this.agent,
    });
    return answer
      .mapLeft(({ kind }): HostListError => ({
        kind: kind === 'malformed-answer' ? 'host-list-malformed' : 'host-list-unavailable',
      }))
      .chain(hostsOf);
  }

  /** Closes the connections. */
  close(): void {
    this.agent.destroy();
  }
}
