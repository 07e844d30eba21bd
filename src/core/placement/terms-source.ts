import { SendingHosts, UpstreamTerms } from '../announcements';
import type { GatewayUpstream, Instant } from '../../model';

/** What a balancer asks about the limits that upstreams announce. */
export interface TermsSource {
  /** Returns the terms of an upstream's run. */
  termsOf(upstream: GatewayUpstream): UpstreamTerms;
  /** Returns the hosts that share the limits of the service's upstreams. */
  sendingHosts(now: Instant): SendingHosts;
}

/** Terms for a host that sends alone. */
export const createTermsOfOneHost = (): TermsSource => {
  const hosts = new SendingHosts(['self'], 'self', Number.NEGATIVE_INFINITY);
  return { termsOf: ({ id }) => new UpstreamTerms(id), sendingHosts: () => hosts };
};
