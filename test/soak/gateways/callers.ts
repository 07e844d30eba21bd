import http from 'node:http';

import { ANSWER_SLACK_MS, REQUEST_DEADLINE_MS, type RequestOutcome } from './outcome-recorder';

export const HOST_NAME = 'shop.example';
/** Time after which a caller abandons a request. */
const CALLER_TIMEOUT_MS = REQUEST_DEADLINE_MS + ANSWER_SLACK_MS;
/** Time for which callers reuse the addresses that the directory returned. */
const ADDRESS_TTL_MS = 500;
const DIRECTORY_TIMEOUT_MS = 300;
/** Length of the end of a body that is kept; bodies may have no end themselves. */
const KEPT_BODY_BYTES = 100;

/** The part of an outcome that the caller observes. */
type ObservedOutcome = Omit<RequestOutcome, 'kind' | 'gateway' | 'life'>;

/** A request to be sent; only one that isn't safe has a body. */
interface SentRequest {
  readonly id: string;
  readonly kind: RequestOutcome['kind'];
  readonly path: string;
  readonly gateway: number;
  readonly body: string;
}

/** Callers of one host name that pool connections and cache the directory's addresses. */
export class Callers {
  private readonly agent = new http.Agent({ keepAlive: true });

  private cachedAddresses = { addresses: [] as readonly string[], until: 0 };

  /** `port` is the caller port of every gateway; its directory listens on `port + 2`. */
  constructor(
    private readonly gatewayIps: readonly string[],
    private readonly port: number,
  ) {}

  /** Returns the index of a random gateway that the directory lists, or -1 if none is known. */
  async chooseGateway(): Promise<number> {
    const addresses = await this.resolveAddresses();
    const address = addresses[Math.floor(Math.random() * addresses.length)];
    return this.gatewayIps.findIndex((host) => address?.startsWith(`${host}:`));
  }

  /** Sends one request to a gateway; resolves with its outcome and never rejects. */
  send({ id, kind, path, gateway, body }: SentRequest): Promise<ObservedOutcome> {
    return new Promise((resolve) => {
      const sentAt = Date.now();
      const none = { id, sentAt, status: 0, answerId: '', signed: false, body: '', broken: true };
      const end = (seen: object = {}): void => resolve({ ...none, ...seen, endedAt: Date.now() });
      const req = http.request(
        {
          host: this.gatewayIps[gateway] ?? '',
          port: this.port,
          method: kind === 'safe' ? 'GET' : 'POST',
          path,
          agent: this.agent,
          signal: AbortSignal.timeout(CALLER_TIMEOUT_MS),
          headers: {
            host: HOST_NAME,
            'x-redwingmount-request-id': id,
            'x-redwingmount-deadline-ms': String(REQUEST_DEADLINE_MS),
          },
        },
        (res) => {
          let bodyEnd = '';
          res.on('data', (chunk: Buffer) => {
            bodyEnd = (bodyEnd + chunk.toString('latin1')).slice(-KEPT_BODY_BYTES);
          });
          res.on('error', () => {});
          res.on('close', () =>
            end({
              status: res.statusCode ?? 0,
              answerId: String(res.headers['x-redwingmount-request-id'] ?? ''),
              signed: res.headers['x-redwingmount-response-signature'] !== undefined,
              body: bodyEnd,
              broken: !res.complete,
            }),
          );
        },
      );
      req.on('error', () => end());
      req.end(kind === 'unsafe' ? body : undefined);
    });
  }

  close(): void {
    this.agent.destroy();
  }

  private async resolveAddresses(): Promise<readonly string[]> {
    if (Date.now() < this.cachedAddresses.until) return this.cachedAddresses.addresses;
    const host = this.gatewayIps[Math.floor(Math.random() * this.gatewayIps.length)];
    const query = `name=${HOST_NAME}&zone=takoradi&region=gh`;
    const url = `http://${host}:${this.port + 2}/redwingmount/resolve?${query}`;
    // A gateway may be down or silent; the next call picks a gateway anew.
    const addresses = await fetch(url, { signal: AbortSignal.timeout(DIRECTORY_TIMEOUT_MS) })
      .then(async (res) => ((await res.json()) as { addresses?: readonly string[] }).addresses)
      .catch(() => undefined);
    if (addresses?.length) this.cachedAddresses = { addresses, until: Date.now() + ADDRESS_TTL_MS };
    return this.cachedAddresses.addresses;
  }
}
