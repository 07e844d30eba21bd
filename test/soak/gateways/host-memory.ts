import { readFile } from 'node:fs/promises';

import { HOST_MEMORY_MB } from '../../process/deployment';

import type { GatewayHosts } from './gateway-hosts';
import type { OutcomeRecorder } from './outcome-recorder';

const SAMPLE_INTERVAL_MS = 100;
const KIB_PER_MIB = 1024;

/** Checks while a fleet runs that each of its processes stays within the memory of its host. */
export class HostMemory {
  /** The most resident memory in MiB that a process had. */
  maxMb = 0;

  /** Processes that had more than their host has, as `gateway life`. */
  private readonly exceeding = new Set<string>();

  private readonly timer = setInterval(() => {
    this.sample().catch(() => {});
  }, SAMPLE_INTERVAL_MS);

  constructor(
    private readonly hosts: GatewayHosts,
    private readonly recorder: OutcomeRecorder,
  ) {}

  close(): void {
    clearInterval(this.timer);
  }

  private async sample(): Promise<void> {
    await Promise.all(
      this.hosts.list.map(async ({ address, life, process: running }) => {
        if (!running) return;
        const text = await readFile(`/proc/${running.pid}/status`, 'utf8').catch(() => '');
        const mb = Number(/^VmRSS:\s+(\d+) kB/m.exec(text)?.[1] ?? 0) / KIB_PER_MIB;
        this.maxMb = Math.max(this.maxMb, Math.round(mb));
        const key = `${address} ${life}`;
        if (mb <= HOST_MEMORY_MB || this.exceeding.has(key)) return;
        this.exceeding.add(key);
        this.recorder.violations.push({
          promise: 'a process stays within the memory of its host',
          detail: `${key} has ${Math.round(mb)} MiB of ${HOST_MEMORY_MB}`,
        });
      }),
    );
  }
}
