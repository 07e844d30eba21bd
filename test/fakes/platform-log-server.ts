import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';

import type { FakePlatformLog } from './platform-log';

const readJsonBody = async (req: IncomingMessage): Promise<unknown> => {
  const chunks: Buffer[] = [];
  for await (const chunk of req as AsyncIterable<Buffer>) chunks.push(chunk);
  return JSON.parse(Buffer.concat(chunks).toString('utf8'));
};

/** An HTTP server for a fake log, on a free port of loopback. */
export class PlatformLogServer {
  private constructor(
    private readonly log: FakePlatformLog,
    private readonly server: Server,
  ) {}

  static async start(log: FakePlatformLog): Promise<PlatformLogServer> {
    const server = createServer();
    const logServer = new PlatformLogServer(log, server);
    server.on('request', (req: IncomingMessage, res: ServerResponse) => {
      logServer.serve(req, res).catch(() => res.destroy());
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    return logServer;
  }

  get url(): string {
    return `http://127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  stop(): void {
    this.server.closeAllConnections();
    this.server.close();
  }

  private async serve(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const url = new URL(req.url ?? '/', this.url);
    const stream = url.pathname.split('/').at(-1) ?? '';
    if (req.method === 'POST') {
      const { value } = (await readJsonBody(req)) as { readonly value: unknown };
      (await this.log.append(stream, value)).caseOf({
        Left: (err) => (err.kind === 'log-unsure' ? res.destroy() : res.writeHead(404).end()),
        Right: (offset) => res.end(JSON.stringify({ offset })),
      });
      return;
    }
    const wait = Number(url.searchParams.get('waitMs'));
    const from = Number(url.searchParams.get('from'));
    (await this.log.read(stream, from, performance.now() + wait)).caseOf({
      Left: (err) =>
        err.kind === 'log-trimmed'
          ? res.writeHead(410).end(JSON.stringify({ first: err.first }))
          : res.writeHead(503).end(),
      Right: (batch) => res.end(JSON.stringify(batch)),
    });
  }
}
