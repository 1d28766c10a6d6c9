// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import java.time.Duration;
import java.util.Optional;
import org.oatlug.api.Refusal;
import org.oatlug.api.RefusalReason;
import org.oatlug.errors.ErrorText;

/**
 * Composes the refusals of requests for a service of which no upstream can take them now. Used from
 * one event loop.
 *
 * @param components the components that know the state of the service
 */
record ServiceRefusals(GatewayComponents components) {
  /** The default retry delay: about the time until a connection slot frees up. */
  static final Duration DEFAULT_RETRY_AFTER = Duration.ofMillis(300);

  /** Returns the refusal of a request for which no upstream is eligible. */
  Refusal withoutUpstream(String service) {
    RefusalReason reason =
        components.selection().eligibility().refusalReason(service, components.clock().instant());
    String pattern =
        switch (reason) {
          case ZONES_EMPTIED -> ErrorText.get().zonesEmptied;
          case UPSTREAMS_BRITTLE -> ErrorText.get().upstreamsBrittle;
          case UPSTREAMS_COLD -> ErrorText.get().upstreamsCold;
          case UPSTREAMS_REST -> ErrorText.get().upstreamsRest;
          case UPSTREAMS_LIMITED -> ErrorText.get().upstreamsLimited;
          default -> ErrorText.get().noUpstream;
        };
    Duration retryAfter =
        reason == RefusalReason.UPSTREAMS_LIMITED
            ? retryAfterAtAdvertisedRate(service)
            : retryAfter(service);
    return Refusal.retryAfter(reason, ErrorText.format(pattern, service), retryAfter);
  }

  private Duration retryAfterAtAdvertisedRate(String service) {
    double advertisedRate = components.rates().totalAdvertisedRate(service);
    return components
        .retryAfterJitter()
        .spacedDelay(service, advertisedRate, components.clock().instant());
  }

  /** Returns the retry delay of a request for the service. */
  Duration retryAfter(String service) {
    return retryAfterBackOff(service).orElse(DEFAULT_RETRY_AFTER);
  }

  /**
   * Returns the retry delay while all upstreams ask to back off: the time until the first of them
   * accepts requests again, spread so that callers do not all return at once and are refused again.
   */
  Optional<Duration> retryAfterBackOff(String service) {
    return components
        .selection()
        .eligibility()
        .shortestBackOff(service, components.clock().instant())
        .map(components.retryAfterJitter()::withJitter);
  }
}
