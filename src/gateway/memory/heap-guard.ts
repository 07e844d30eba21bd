import { getHeapStatistics } from 'node:v8';

import { guarded } from '../../adapters/guarded';
import { isHeapShort } from '../../core/memory';
import type { Millis } from '../../model';
import type { Telemetry } from '../../ports';

import type { HostMemory } from './host-memory';

/** Interval in milliseconds at which the heap is looked at. */
const CHECK_INTERVAL_MS: Millis = 100;
/** Number of checks between two reports of the gauges. */
const CHECKS_PER_REPORT = 10;
/** Number of holders that give way at a check that finds the heap nearly full. */
const GIVEN_UP_PER_CHECK = 8;

/** What the runtime says of the heap. */
export interface HeapSize {
  readonly used: number;
  readonly limit: number;
}

const readHeap = (): HeapSize => {
  const { used_heap_size: used, heap_size_limit: limit } = getHeapStatistics();
  return { used, limit };
};

/**
 * Watches the heap. The runtime ends a process whose heap is full without a line in the log; before
 * that, the largest holders give way.
 */
export class HeapGuard {
  private readonly timer: NodeJS.Timeout;

  private checkCount = 0;

  private isShort = false;

  constructor(
    private readonly memory: HostMemory,
    private readonly telemetry: Telemetry,
    private readonly read: () => HeapSize = readHeap,
  ) {
    this.timer = setInterval(
      guarded('heap-guard timer', () => this.check()),
      CHECK_INTERVAL_MS,
    ).unref();
  }

  close(): void {
    clearInterval(this.timer);
  }

  /** Lets go of the largest holders if the heap is nearly full. */
  check(): void {
    const { used, limit } = this.read();
    if (this.checkCount % CHECKS_PER_REPORT === 0) this.report(used);
    this.checkCount += 1;
    const wasShort = this.isShort;
    this.isShort = isHeapShort(used, limit);
    if (this.isShort !== wasShort)
      this.telemetry.event(this.isShort ? 'heap-short' : 'heap-recovered', {
        used,
        limit,
        held: this.memory.total,
      });
    if (!this.isShort) return;
    for (let i = 0; i < GIVEN_UP_PER_CHECK; i++) {
      if (!this.memory.giveWay('heap')) return;
    }
  }

  private report(used: number): void {
    this.telemetry.gauge('heap_used_bytes', used);
    this.memory.report();
  }
}
