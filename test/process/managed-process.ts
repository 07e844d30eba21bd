import { type ChildProcess, spawn } from 'node:child_process';

/** How a process ended: its exit code, or the signal that ended it. */
export interface Exit {
  readonly code: number | null;
  readonly signal: NodeJS.Signals | null;
}

const MAX_LINES = 20_000;
const LINE_WAIT_MS = 20_000;

const running = new Set<ChildProcess>();
process.on('exit', () => running.forEach((child) => child.kill('SIGKILL')));

/** A child process, by pid, with the lines that it wrote on stdout and stderr. */
export class ManagedProcess {
  readonly exited: Promise<Exit>;

  private readonly written: string[] = [];

  private readonly watchers = new Set<(line: string) => void>();

  private readonly child: ChildProcess;

  constructor(
    readonly name: string,
    args: readonly string[],
    env: Readonly<Record<string, string>> = {},
  ) {
    this.child = spawn(process.execPath, args, {
      stdio: ['ignore', 'pipe', 'pipe'],
      env: { ...process.env, ...env },
    });
    running.add(this.child);
    this.exited = new Promise((resolve) => {
      this.child.once('close', (code, signal) => {
        running.delete(this.child);
        resolve({ code, signal });
      });
    });
    this.collect(this.child.stdout);
    this.collect(this.child.stderr);
  }

  get pid(): number {
    if (this.child.pid === undefined) throw new Error(`${this.name} did not start`);
    return this.child.pid;
  }

  /** The last lines, oldest first. */
  get lines(): readonly string[] {
    return this.written;
  }

  /** The match in the first line, written before or yet to come; rejects when there is none. */
  waitForLine(pattern: RegExp, waitMs = LINE_WAIT_MS): Promise<RegExpExecArray> {
    const known = this.written.map((line) => pattern.exec(line)).find((match) => match !== null);
    if (known) return Promise.resolve(known);
    return new Promise((resolve, reject) => {
      const settled = new AbortController();
      const fail = (why: string): void => {
        settled.abort();
        reject(new Error(`${this.name}: no ${String(pattern)}: ${why}\n${this.tail()}`));
      };
      const timer = setTimeout(() => fail('timeout'), waitMs);
      const watch = (line: string): void => {
        const match = pattern.exec(line);
        if (!match) return;
        settled.abort();
        resolve(match);
      };
      settled.signal.addEventListener('abort', () => {
        clearTimeout(timer);
        this.watchers.delete(watch);
      });
      this.watchers.add(watch);
      this.exited.then(
        ({ code, signal }) => fail(`exited ${code ?? signal ?? ''}`),
        () => undefined,
      );
    });
  }

  /** Stops the process in its tracks, as a long pause of the host would. */
  freeze(): void {
    this.child.kill('SIGSTOP');
  }

  thaw(): void {
    this.child.kill('SIGCONT');
  }

  /** Tells it that its settings have changed. */
  reload(): void {
    this.child.kill('SIGHUP');
  }

  /** Ends it at once, frozen or not. */
  kill(): Promise<Exit> {
    this.child.kill('SIGKILL');
    return this.exited;
  }

  /** Asks it to stop, and waits until it has. */
  stop(): Promise<Exit> {
    this.child.kill('SIGTERM');
    return this.exited;
  }

  tail(count = 30): string {
    return this.written.slice(-count).join('\n');
  }

  private collect(stream: NodeJS.ReadableStream | null): void {
    let rest = '';
    stream?.setEncoding('utf8');
    stream?.on('data', (text: string) => {
      const lines = (rest + text).split('\n');
      rest = lines.pop() ?? '';
      lines.forEach((line) => this.push(line));
    });
    stream?.on('end', () => {
      if (rest !== '') this.push(rest);
    });
  }

  private push(line: string): void {
    this.written.push(line);
    if (this.written.length > MAX_LINES) this.written.shift();
    this.watchers.forEach((watch) => watch(line));
  }
}
