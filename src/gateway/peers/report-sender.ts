import { guarded } from '../../adapters/guarded';
import {
  REPORT_TICK_MS,
  senderKeyOf,
  ServiceReporter,
  type UnservedPriority,
  type UpstreamReport,
} from '../../core/evidence';
import type { EvidenceKind, UpstreamStats } from '../../core/placement';
import type { Incarnation, Instant, Member, Millis, ServiceName } from '../../model';

import type { GatewayContext } from '../context';
import { readsReports } from './datagram';
import type { DatagramLink } from './peer-link';
import type { ServiceScheduler } from '../scheduling/service-scheduler';

/** Ticks between two reports of good responses to owners in other data centres: 1,000 ms. */
const FAR_REPORT_TICK_COUNT = 4;
/** Ticks between two reports to them that have nothing but a priority that waits: 500 ms. */
const FAR_PRIORITY_TICK_COUNT = 2;
/** Time in milliseconds for which urgent reports are collected, as failures come in groups. */
const URGENT_DELAY_MS: Millis = 5;
/** Largest size in bytes of the reports in one datagram, so that it stays below 1,200 bytes. */
const MAX_REPORTS_BYTES = 1150;
/** Largest size in bytes of an upstream's report in usual cases, and of the limit in it. */
const REPORT_BYTES = 10;
const LIMIT_BYTES = 12;

/** Functions of the fleet that the sender calls. */
interface ReportService {
  /** Returns the owners of a service without this gateway. */
  otherOwners(service: ServiceName): readonly Member[];
  /** Returns the schedulers in use, by service name. */
  schedulers(): ReadonlyMap<ServiceName, ServiceScheduler>;
}

/** The reporters of one service: for owners in this data centre, and for those in others. */
interface Reporters {
  readonly near: ServiceReporter;
  readonly far: ServiceReporter;
}

/** Splits reports into lists that fit into one datagram each; one empty list if there are none. */
export const splitReports = (
  reports: readonly UpstreamReport[],
): readonly (readonly UpstreamReport[])[] => {
  const parts: UpstreamReport[][] = [[]];
  let size = 0;
  reports.forEach((report) => {
    const bytes = REPORT_BYTES + (report.limit ? LIMIT_BYTES : 0);
    size += bytes;
    if (size > MAX_REPORTS_BYTES) {
      parts.push([]);
      size = bytes;
    }
    parts.at(-1)?.push(report);
  });
  return parts;
};

/** Sends this gateway's reports to the other owners that read them. */
export class ReportSender {
  private readonly reporters = new Map<ServiceName, Reporters>();

  private readonly urgentServices = new Set<ServiceName>();

  private readonly sender: number;

  private tickCount = 0;

  private tickTimer: NodeJS.Timeout | undefined;

  private urgentTimer: NodeJS.Timeout | undefined;

  constructor(
    private readonly context: GatewayContext,
    self: Incarnation,
    private readonly link: Pick<DatagramLink, 'send' | 'sendToAll'>,
    private readonly service: ReportService,
  ) {
    this.sender = senderKeyOf(self);
  }

  /** Starts reporting at intervals; calls after the first have no effect. */
  start(): void {
    this.tickTimer ??= setInterval(
      guarded('report-sender timer', () => this.tick()),
      REPORT_TICK_MS,
    );
  }

  /** Takes in evidence from an attempt that began at `sentAt`. */
  add(service: ServiceName, stats: UpstreamStats, evidence: EvidenceKind, sentAt: Instant): void {
    this.start();
    const now = this.context.clock.now();
    const { near, far } = this.reportersOf(service);
    const isNearUrgent = near.record(stats, evidence, sentAt, now);
    const isFarUrgent = far.record(stats, evidence, sentAt, now);
    if (!isNearUrgent && !isFarUrgent) return;
    this.urgentServices.add(service);
    this.urgentTimer ??= setTimeout(
      guarded('report-sender timer', () => this.sendUrgent()),
      URGENT_DELAY_MS,
    );
  }

  /** Marks the upstream's limit as known to the other owners, as one of them has reported it. */
  noteKnownLimit(service: ServiceName, stats: UpstreamStats): void {
    const { near, far } = this.reportersOf(service);
    near.noteKnownLimit(stats);
    far.noteKnownLimit(stats);
  }

  close(): void {
    clearInterval(this.tickTimer);
    clearTimeout(this.urgentTimer);
  }

  /** Forgets a service that is not used any more. */
  forget(service: ServiceName): void {
    this.reporters.delete(service);
    this.urgentServices.delete(service);
  }

  private reportersOf(service: ServiceName): Reporters {
    const known = this.reporters.get(service);
    if (known) return known;
    const created = {
      near: new ServiceReporter(1),
      far: new ServiceReporter(FAR_REPORT_TICK_COUNT),
    };
    this.reporters.set(service, created);
    return created;
  }

  private sendUrgent(): void {
    this.urgentTimer = undefined;
    const now = this.context.clock.now();
    this.urgentServices.forEach((name) => {
      const scheduler = this.service.schedulers().get(name);
      const { near, far } = this.reportersOf(name);
      const unserved = scheduler?.mostUrgentUnserved(now);
      this.send(name, this.ownersOf(name, 'near'), near.takeUrgent(now), unserved);
      this.send(name, this.ownersOf(name, 'far'), far.takeUrgent(now), unserved);
    });
    this.urgentServices.clear();
  }

  private tick(): void {
    this.tickCount += 1;
    this.service.schedulers().forEach((scheduler, name) => {
      const all = scheduler.balancer.all();
      const now = this.context.clock.now();
      const unserved = scheduler.mostUrgentUnserved(now);
      const { near, far } = this.reportersOf(name);
      const isPriorityDue = this.tickCount % FAR_PRIORITY_TICK_COUNT === 0;
      const nearReports = near.takeDue(all, now);
      const farReports = far.takeDue(all, now);
      if (nearReports.length > 0 || unserved)
        this.send(name, this.ownersOf(name, 'near'), nearReports, unserved);
      if (farReports.length > 0 || (unserved && isPriorityDue))
        this.send(name, this.ownersOf(name, 'far'), farReports, unserved);
    });
  }

  /** Returns the other owners that read reports, in this data centre or in others. */
  private ownersOf(service: ServiceName, distance: 'near' | 'far'): readonly Member[] {
    const { dataCentre } = this.context.settings;
    return this.service
      .otherOwners(service)
      .filter(
        (owner) =>
          readsReports(owner.datagramVersion) &&
          (owner.dataCentre === dataCentre) === (distance === 'near'),
      );
  }

  private send(
    name: ServiceName,
    owners: readonly Member[],
    reports: readonly UpstreamReport[],
    unserved: UnservedPriority | undefined,
  ): void {
    const service = this.service.schedulers().get(name)?.key;
    if (owners.length === 0 || service === undefined) return;
    splitReports(reports).forEach((upstreams) =>
      this.link.sendToAll(owners, 'reports', {
        sender: this.sender,
        service,
        ...(unserved ? { unserved } : {}),
        upstreams,
      }),
    );
  }
}
