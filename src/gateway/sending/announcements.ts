import type { TermsChange, TermsRegistry } from '../../core/announcements';
import type { GatewayUpstream } from '../../model';
import type { Telemetry } from '../../ports';

import { headerOf, headersOf, type AnswerHead } from './answer-parser';
import type { GatewayContext } from '../context';

/** Status of an answer by another upstream than the one that was addressed. */
const MISDIRECTED = 421;

/** Logs changes of an upstream's terms, learnt from its answer or from another gateway. */
export const logTermsChanges = (
  telemetry: Telemetry,
  { id, service }: Pick<GatewayUpstream, 'id' | 'service'>,
  changes: readonly TermsChange[],
  source: 'answer' | 'peer',
): void =>
  changes.forEach((change) => {
    telemetry.count('terms_changes', { service, kind: change.kind, source });
    switch (change.kind) {
      case 'leaving':
        telemetry.event('upstream-leaving', { upstream: id, service, source });
        return;
      case 'pause': {
        const forMs = Math.round(change.pause);
        telemetry.event('pause-announced', { upstream: id, service, forMs, source });
        return;
      }
      case 'limit': {
        const { rateLimit, before } = change;
        telemetry.event(rateLimit === undefined ? 'limit-ended' : 'limit-announced', {
          upstream: id,
          service,
          ...(rateLimit === undefined ? {} : { perSecond: rateLimit }),
          ...(before === undefined ? {} : { beforePerSecond: before }),
          source,
        });
      }
    }
  });

/** Takes in what upstreams announce in their answers, and logs each change. */
export class AnnouncementReader {
  constructor(
    private readonly context: GatewayContext,
    private readonly registry: TermsRegistry,
  ) {}

  /** Reads the head of any answer that came on a connection to an upstream. */
  read(
    upstream: Pick<GatewayUpstream, 'id' | 'born' | 'service'>,
    { rawHeaders, status }: AnswerHead,
  ): void {
    const { clock, telemetry, headerConventions } = this.context;
    const announcement = headerConventions.parseAnnouncement(status, (name) =>
      headersOf(rawHeaders, name),
    );
    announcement.malformed.forEach((name) =>
      telemetry.count('announcements_malformed', { announcement: name }),
    );
    if (announcement.rateLimit !== undefined)
      telemetry.count('limited_answers', { service: upstream.service });
    const genuine =
      status !== MISDIRECTED && headerOf(rawHeaders, headerConventions.signature) !== undefined;
    const changes = this.registry.find(upstream)?.apply(announcement, { genuine }, clock.now());
    if (changes) logTermsChanges(telemetry, upstream, changes, 'answer');
  }
}
