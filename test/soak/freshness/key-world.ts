import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

import type { Instant } from '../../../src/model';
import { VirtualTime } from '../../fakes/virtual-time';

const UINT32_COUNT = 2 ** 32;

/** The time, the randomness and the links between the simulated hosts and the store. */
export class KeyWorld {
  readonly time = new VirtualTime();

  private readonly generator;

  /** Links that are cut, by the names of their ends; the store's name is `store`. */
  private readonly cut = new Set<string>();

  /** Until when the store answers nobody. */
  storeDownUntil: Instant = 0;

  storeReads = 0;

  datagrams = 0;

  constructor(
    seed: number,
    readonly revocationTime: number,
    readonly lossRatio: number,
  ) {
    this.generator = xoroshiro128plus(seed);
  }

  random = (): number => (this.generator.next() >>> 0) / UINT32_COUNT;

  between(low: number, high: number): number {
    return low + this.random() * (high - low);
  }

  chance(ratio: number): boolean {
    return this.random() < ratio;
  }

  isCut(a: string, b: string): boolean {
    return this.cut.has(`${a} ${b}`);
  }

  setCut(a: string, b: string, isCut: boolean): void {
    [`${a} ${b}`, `${b} ${a}`].forEach((link) =>
      isCut ? this.cut.add(link) : this.cut.delete(link),
    );
  }

  /** Delay of a datagram; a few are delayed by seconds. */
  datagramDelay(): number {
    return this.chance(0.01) ? this.between(100, 6000) : this.between(0.2, 8);
  }
}
