import { fromLimitNews, type TermsChange } from '../../core/announcements';
import { PeerPriorities, type ServiceReport, type UpstreamReport } from '../../core/evidence';
import type { EvidenceKind, UpstreamStats } from '../../core/placement';
import type { Incarnation, Instant, Member, ServiceName, UpstreamId } from '../../model';

import { logTermsChanges } from '../sending/announcements';
import { disabledIn, type GatewayContext } from '../context';
import { DATAGRAM_VERSION, readsReports } from './datagram';
import { ReportSender } from './report-sender';
import {
  createBeliefMessages,
  decodeBeliefs,
  decodeObservations,
  ObservationOutbox,
  type BeliefsMessage,
} from './observations';
import type { DatagramLink } from './peer-link';
import type { ServiceScheduler } from '../scheduling/service-scheduler';

/** Functions of the fleet that the exchange calls. */
interface EvidenceService {
  /** Returns the owners of a service without this gateway. */
  otherOwners(service: ServiceName): readonly Member[];
  /** Returns the schedulers in use, by service name. */
  schedulers(): ReadonlyMap<ServiceName, ServiceScheduler>;
}

/**
 * Exchanges with the other owners of a service what this gateway knows of its upstreams:
 * observations as they are made, beliefs and announced limits on request.
 */
export class EvidenceExchange {
  /** For owners that read no reports. */
  private readonly outbox: ObservationOutbox;

  private readonly reports: ReportSender;

  private readonly peerPriorities = new Map<ServiceName, PeerPriorities>();

  /** For each service that this gateway owns, the other owners that it has asked for beliefs. */
  private readonly askedOwnersByService = new Map<ServiceName, ReadonlySet<Incarnation>>();

  constructor(
    private readonly context: GatewayContext,
    self: Incarnation,
    private readonly link: Pick<DatagramLink, 'send' | 'sendToAll'>,
    private readonly service: EvidenceService,
  ) {
    this.outbox = new ObservationOutbox(context.clock, (message) =>
      service
        .otherOwners(message.service)
        .filter(({ datagramVersion }) => !readsReports(datagramVersion))
        .forEach((owner) => link.send(owner, 'sightings', message)),
    );
    this.reports = new ReportSender(context, self, link, service);
  }

  /** Queues an observation for the other owners; `sentAt` is when its attempt began. */
  report(
    service: ServiceName,
    stats: UpstreamStats,
    evidence: EvidenceKind,
    sentAt: Instant,
  ): void {
    if (disabledIn(this.context).has('shared-evidence')) return;
    this.outbox.add(service, stats, evidence, sentAt);
    this.reports.add(service, stats, evidence, sentAt);
  }

  /** Whether this gateway has asked the other owners of the service since it became one. */
  hasAsked(service: ServiceName): boolean {
    return this.askedOwnersByService.has(service);
  }

  /** Asks each other owner of a service once for its beliefs; owners are discovered one by one. */
  requestBeliefs(service: ServiceName): void {
    this.reports.start();
    const { address, port: peerPort } = this.context.settings.listen.peers;
    const asked = this.askedOwnersByService.get(service) ?? new Set();
    const otherOwners = this.service.otherOwners(service);
    const from = { address, peerPort, datagramVersion: DATAGRAM_VERSION };
    const message: BeliefsMessage = { kind: 'wanted', service, from };
    otherOwners
      .filter((owner) => !asked.has(owner.incarnation))
      .forEach((owner) => this.link.send(owner, 'beliefs', message));
    this.askedOwnersByService.set(
      service,
      new Set(otherOwners.map(({ incarnation }) => incarnation)),
    );
  }

  /** Forgets whom this gateway has asked, as it no longer owns the service. */
  forget(service: ServiceName): void {
    this.askedOwnersByService.delete(service);
    this.peerPriorities.delete(service);
  }

  /** Forgets a service that is not used any more. */
  forgetService(service: ServiceName): void {
    this.forget(service);
    this.reports.forget(service);
  }

  /** Returns the most urgent priority that other owners report as waiting or refused. */
  mostUrgentWaitingAtPeers(service: ServiceName, now: Instant): number | undefined {
    return this.peerPriorities.get(service)?.mostUrgent(now);
  }

  /** Takes in a message of topic `reports`. */
  onReport(report: ServiceReport): void {
    const scheduler = this.findScheduler(report.service);
    if (!scheduler) return;
    const { name, balancer } = scheduler;
    const now = this.context.clock.now();
    const priorities = this.peerPriorities.get(name) ?? new PeerPriorities();
    priorities.record(report.sender, report.unserved, now);
    this.peerPriorities.set(name, priorities);
    report.upstreams.forEach((one) => {
      const stats = balancer.findByKey(one.key);
      if (stats) this.applyReport(name, stats, report.sender, one);
    });
  }

  /** Takes in a message of topic `sightings`. */
  onObservations(body: unknown): void {
    const { clock, telemetry } = this.context;
    const message = decodeObservations(body);
    if (!message) telemetry.count('datagrams_refused', { reason: 'sightings' });
    const balancer = message && this.service.schedulers().get(message.service)?.balancer;
    message?.sightings.forEach((sighting) => {
      const changes = balancer?.applyObservation(sighting, clock.now()) ?? [];
      this.logChanges(message.service, sighting.id, changes);
    });
  }

  /** Takes in a message of topic `beliefs`, and answers a request for them. */
  onBeliefs(body: unknown): void {
    const { clock, telemetry } = this.context;
    const message = decodeBeliefs(body);
    if (!message) {
      telemetry.count('datagrams_refused', { reason: 'beliefs' });
      return;
    }
    const now = clock.now();
    const balancer = this.service.schedulers().get(message.service)?.balancer;
    switch (message.kind) {
      case 'told':
        message.beliefs.forEach((belief) => {
          const changes = balancer?.adoptBelief(belief, now) ?? [];
          this.logChanges(message.service, belief.id, changes);
        });
        return;
      case 'wanted':
        createBeliefMessages(message.service, balancer?.beliefs(now) ?? []).forEach((told) =>
          this.link.send(message.from, 'beliefs', told),
        );
    }
  }

  close(): void {
    this.outbox.close();
    this.reports.close();
  }

  /** Returns the scheduler of the service with this key; undefined if there is none or two. */
  private findScheduler(key: number): ServiceScheduler | undefined {
    const [found, ...others] = [...this.service.schedulers().values()].filter(
      (scheduler) => scheduler.key === key,
    );
    return others.length === 0 ? found : undefined;
  }

  private applyReport(
    service: ServiceName,
    stats: UpstreamStats,
    sender: number,
    { goodCount, failure, sentAgo, inFlight, limit }: UpstreamReport,
  ): void {
    const now = this.context.clock.now();
    if (sentAgo !== undefined) stats.recordPeerUse(now - sentAgo);
    stats.recordPeerLoad(sender, inFlight, now);
    for (let i = 0; i < goodCount; i++) stats.applyEvidence('good', now);
    if (failure) stats.applyEvidence(failure, now);
    if (!limit) return;
    this.logChanges(service, stats.upstream.id, stats.terms.adoptLimit(fromLimitNews(limit, now)));
    this.reports.noteKnownLimit(service, stats);
  }

  private logChanges(service: ServiceName, id: UpstreamId, changes: readonly TermsChange[]): void {
    logTermsChanges(this.context.telemetry, { id, service }, changes, 'peer');
  }
}
