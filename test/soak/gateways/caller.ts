import http from 'node:http';

import { DEADLINE, type Ending } from './ledger';

export const HOST = 'shop.example';
/** Milliseconds, all of them. */
const GIVE_UP_AFTER = 2000;
const ADDRESSES_KEPT = 500;
const DIRECTORY_TIME = 300;

type Seen = Omit<Ending, 'kind' | 'gateway' | 'life'>;

/** Callers of one host name, who keep connections and the directory's answers for a while. */
export class Callers {
  private readonly agent = new http.Agent({ keepAlive: true });

  private known = { addresses: [] as readonly string[], until: 0 };

  /** IP numbers of the gateways, and their callers' port; the directory's is the next but one. */
  constructor(
    private readonly hosts: readonly string[],
    private readonly port: number,
  ) {}

  /** The number of a gateway that the directory names; -1 if none is known. */
  async choose(): Promise<number> {
    const addresses = await this.addresses();
    const to = addresses[Math.floor(Math.random() * addresses.length)];
    return this.hosts.findIndex((host) => to?.startsWith(`${host}:`));
  }

  send(id: string, kind: Ending['kind'], path: string, gateway: number): Promise<Seen> {
    return new Promise((resolve) => {
      const sentAt = Date.now();
      const none = { id, sentAt, status: 0, answerId: '', signed: false, body: '', broken: true };
      const end = (seen: object = {}): void => resolve({ ...none, ...seen, endedAt: Date.now() });
      const req = http.request(
        {
          host: this.hosts[gateway] ?? '',
          port: this.port,
          method: kind === 'safe' ? 'GET' : 'POST',
          path,
          agent: this.agent,
          signal: AbortSignal.timeout(GIVE_UP_AFTER),
          headers: {
            host: HOST,
            'x-redwingmount-request-id': id,
            'x-redwingmount-deadline-ms': String(DEADLINE),
          },
        },
        (res) => {
          const chunks: Buffer[] = [];
          res.on('data', (chunk: Buffer) => chunks.push(chunk));
          res.on('error', () => {});
          res.on('close', () =>
            end({
              status: res.statusCode ?? 0,
              answerId: String(res.headers['x-redwingmount-request-id'] ?? ''),
              signed: res.headers['x-redwingmount-response-signature'] !== undefined,
              body: Buffer.concat(chunks).toString('utf8'),
              broken: !res.complete,
            }),
          );
        },
      );
      req.on('error', () => end());
      req.end(kind === 'unsafe' ? 'b' : undefined);
    });
  }

  close(): void {
    this.agent.destroy();
  }

  private async addresses(): Promise<readonly string[]> {
    if (Date.now() < this.known.until) return this.known.addresses;
    const host = this.hosts[Math.floor(Math.random() * this.hosts.length)];
    const query = `name=${HOST}&zone=takoradi&region=gh`;
    const url = `http://${host}:${this.port + 2}/redwingmount/resolve?${query}`;
    // A gateway that is down or silent answers nothing; the next question goes to another.
    const addresses = await fetch(url, { signal: AbortSignal.timeout(DIRECTORY_TIME) })
      .then(async (res) => ((await res.json()) as { addresses?: readonly string[] }).addresses)
      .catch(() => undefined);
    if (addresses?.length) this.known = { addresses, until: Date.now() + ADDRESSES_KEPT };
    return this.known.addresses;
  }
}
