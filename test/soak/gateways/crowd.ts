import net, { type Socket } from 'node:net';

/** Time in milliseconds after which a connection that was closed is opened again. */
const REOPEN_MS = 20;

/** Connections that are opened again whenever they close, until the crowd leaves. */
export class Crowd {
  private readonly sockets = new Set<Socket>();

  private hasLeft = false;

  constructor(
    private readonly port: number,
    private readonly address: string,
  ) {}

  /** Opens `count` connections; `talk` gets each when it is open. */
  open(count: number, talk: (socket: Socket) => void): void {
    for (let i = 0; i < count; i++) this.connect(talk);
  }

  leave(): void {
    this.hasLeft = true;
    this.sockets.forEach((socket) => socket.destroy());
  }

  private connect(talk: (socket: Socket) => void): void {
    if (this.hasLeft) return;
    const socket = net.connect(this.port, this.address, () => talk(socket));
    this.sockets.add(socket);
    socket.on('error', () => {});
    socket.on('close', () => {
      this.sockets.delete(socket);
      setTimeout(() => this.connect(talk), REOPEN_MS);
    });
  }
}
