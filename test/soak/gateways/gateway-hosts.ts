import { writeFile } from 'node:fs/promises';
import { setTimeout as sleep } from 'node:timers/promises';

import { deployedNodeFlags } from '../../process/deployment';
import { ManagedProcess } from '../../process/managed-process';

import type { OutcomeRecorder } from './outcome-recorder';

const GATEWAY_PROGRAM = 'dist/gateway.cjs';
/** Arguments of the process, with the limits of the heap as in a deployment. */
const PROCESS_ARGS = [...deployedNodeFlags(), GATEWAY_PROGRAM];
/** Time between the signals of a series. */
const SIGNAL_GAP_MS = 60;

/** One gateway with its address, its settings file and its process. */
export interface GatewayHost {
  readonly address: string;
  readonly file: string;
  /** Content of the settings file. */
  readonly text: string;
  process: ManagedProcess | undefined;
  /** Number of processes started so far. */
  life: number;
}

/** The gateways of a fleet, whose processes are started, signalled and ended. */
export class GatewayHosts {
  readonly list: GatewayHost[] = [];

  /** Processes that were killed, or that ended by themselves, as `gateway life`. */
  readonly killed = new Set<string>();

  private isClosing = false;

  constructor(private readonly recorder: OutcomeRecorder) {}

  /** Adds a gateway that is not started yet. */
  add(address: string, file: string, text: string): void {
    this.list.push({ address, file, text, process: undefined, life: 0 });
  }

  /** Starts the gateways that have no process. */
  startAll(): void {
    this.list.forEach((_, gateway) => this.start(gateway));
  }

  private start(gateway: number): void {
    const host = this.list[gateway];
    if (!host || host.process) return;
    host.life += 1;
    this.recorder.noteDisturbance();
    const env = { REDWINGMOUNT_NODE_FILE: host.file };
    const started = new ManagedProcess(host.address, PROCESS_ARGS, env);
    const startedAt = Date.now();
    const key = `${gateway} ${host.life}`;
    host.process = started;
    void started.exited.then(({ code, signal }) => {
      if (host.process !== started || this.isClosing) return;
      host.process = undefined;
      this.killed.add(key);
      const age = Date.now() - startedAt;
      // Node.js itself takes a SIGHUP for its end until it has loaded the program.
      if (signal === 'SIGHUP' && started.lines.length === 0) {
        this.recorder.notes.push(`${host.address} ended by a SIGHUP at an age of ${age} ms`);
        return;
      }
      const detail = `${host.address} ended: ${code ?? signal} after ${age} ms\n${started.tail(8)}`;
      this.recorder.violations.push({ promise: 'no process ends by itself', detail });
    });
  }

  /** Ends a gateway's process, and starts another one after `durationMs`. */
  async end(
    gateway: number,
    how: 'kill' | 'stop' | 'stop-series',
    durationMs: number,
  ): Promise<void> {
    const host = this.list[gateway];
    const ended = host?.process;
    if (!host || !ended) return;
    host.process = undefined;
    this.recorder.noteDisturbance();
    ended.thaw();
    if (how === 'kill') this.killed.add(`${gateway} ${host.life}`);
    else this.recorder.noteStop(gateway, host.life);
    if (how === 'stop-series') {
      const series = [() => ended.requestStop(), () => ended.reload(), () => ended.requestStop()];
      for (const send of series) {
        send();
        await sleep(SIGNAL_GAP_MS);
      }
    }
    await (how === 'kill' ? ended.kill() : ended.stop());
    this.checkLines(ended);
    await sleep(durationMs);
    this.start(gateway);
  }

  /** Pauses a gateway's process for `durationMs`. */
  async pause(gateway: number, durationMs: number): Promise<void> {
    const paused = this.list[gateway]?.process;
    const pausedAt = Date.now();
    this.recorder.noteDisturbance();
    paused?.freeze();
    await sleep(durationMs);
    this.recorder.noteDisturbance();
    this.recorder.notePause(gateway, pausedAt);
    paused?.thaw();
  }

  /** Changes a gateway's settings file, and has it read again. */
  async reload(gateway: number): Promise<void> {
    const host = this.list[gateway];
    if (!host) return;
    await writeFile(host.file, `${host.text}\n# ${Date.now()}\n`);
    // The process may have been killed or stopped meanwhile.
    host.process?.reload();
  }

  /** Checks that no exception of a callback has been logged by a process. */
  checkCallbacks(): void {
    this.list.forEach(({ process }) => process && this.checkLines(process));
  }

  async close(): Promise<void> {
    this.isClosing = true;
    await Promise.all(this.list.map(({ process: each }) => each?.kill()));
  }

  private checkLines(process: ManagedProcess): void {
    const broken = process.lines.find((line) => line.includes('"event":"callback-broken"'));
    if (!broken) return;
    this.recorder.violations.push({ promise: 'no callback breaks', detail: broken });
  }
}
