// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import java.time.Duration;
import java.util.Optional;
import org.oatlug.api.RefusalReason;
import org.oatlug.errors.ErrorText;

/**
 * Determines the reason and the retry delay of the refusal of a request for a service of which no
 * upstream can take it now. Used from one event loop.
 *
 * @param components the components that know the state of the service
 * @param callerTry the try that is refused
 */
record ServiceRefusals(GatewayComponents components, RefusedCallers.Try callerTry) {
  /** The retry delay unless retries are managed: about the time until a slot becomes free. */
  private static final Duration DEFAULT_RETRY_AFTER = Duration.ofMillis(300);

  /** Returns the reason to refuse a request for which no upstream is eligible. */
  RefusalReason reasonWithoutUpstream(String service) {
    return components
        .selection()
        .eligibility()
        .refusalReason(service, components.clock().instant());
  }

  /** Returns the text of a refusal for this reason. */
  static String textWithoutUpstream(RefusalReason reason, String service) {
    String pattern =
        switch (reason) {
          case ZONES_EMPTIED -> ErrorText.get().zonesEmptied;
          case UPSTREAMS_BRITTLE -> ErrorText.get().upstreamsBrittle;
          case UPSTREAMS_COLD -> ErrorText.get().upstreamsCold;
          case UPSTREAMS_REST -> ErrorText.get().upstreamsRest;
          case UPSTREAMS_LIMITED -> ErrorText.get().upstreamsLimited;
          default -> ErrorText.get().noUpstream;
        };
    return ErrorText.format(pattern, service);
  }

  /** Returns the retry delay of a request for the service that is refused for this reason. */
  Duration retryAfter(RefusalReason reason, String service) {
    return reason == RefusalReason.UPSTREAMS_LIMITED
        ? retryAfterAtAdvertisedRate(service)
        : retryAfter(service);
  }

  /** Returns the retry delay of a request for the service. */
  Duration retryAfter(String service) {
    return retryAfterBackOff(service).orElseGet(() -> returnDelay(Duration.ZERO));
  }

  /**
   * Returns the retry delay of the request, which this assigns to its caller.
   *
   * @param predictedWait the time before which the service cannot serve it, zero if unknown
   */
  Duration returnDelay(Duration predictedWait) {
    Duration fixed =
        predictedWait.compareTo(DEFAULT_RETRY_AFTER) < 0 ? DEFAULT_RETRY_AFTER : predictedWait;
    return callerTry.returnDelay(predictedWait).orElse(fixed);
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

  private Duration retryAfterAtAdvertisedRate(String service) {
    return callerTry.statedDelay().orElseGet(() -> nextAtAdvertisedRate(service));
  }

  private Duration nextAtAdvertisedRate(String service) {
    double advertisedRate = components.rates().totalAdvertisedRate(service);
    return components
        .retryAfterJitter()
        .spacedDelay(service, advertisedRate, components.clock().instant());
  }
}
