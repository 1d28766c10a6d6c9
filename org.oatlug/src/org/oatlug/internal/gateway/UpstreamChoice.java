// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import com.google.common.flogger.FluentLogger;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.oatlug.internal.forward.ForwardedRequest;

/**
 * Chooses the upstreams of one request in turn, with regard to those that were tried and to the
 * version that failed, also at the instance that forwarded the request.
 *
 * <p>Invariant: an upstream is chosen again only if all others were tried and the request may be
 * repeated. Used from one event loop.
 */
final class UpstreamChoice {
  private final GatewayComponents components;
  private final AdmittedRequest request;
  private final CrashGuard.RequestGuard requestGuard;
  private final Set<String> triedUpstreams = new HashSet<>();
  private final Set<String> sentUpstreams = new LinkedHashSet<>();
  private Optional<String> lastUpstream = Optional.empty();
  private Optional<String> lastFailedVersion = Optional.empty();
  private Optional<VersionRule.VersionPreference> versionPreference = Optional.empty();
  private Optional<VersionDecisionInputs> firstInputs = Optional.empty();

  private UpstreamChoice(
      GatewayComponents components, AdmittedRequest request, CrashGuard.RequestGuard requestGuard) {
    this.components = components;
    this.request = request;
    this.requestGuard = requestGuard;
    request.forwarded().ifPresent(this::continueForwarded);
  }

  /** Returns the choice for a request. */
  static UpstreamChoice of(
      GatewayComponents components, AdmittedRequest request, CrashGuard.RequestGuard requestGuard) {
    return new UpstreamChoice(components, request, requestGuard);
  }

  private void continueForwarded(ForwardedRequest forwarded) {
    triedUpstreams.addAll(forwarded.triedUpstreams());
    lastFailedVersion = forwarded.failedVersion();
  }

  /** Returns the next upstream, empty if there is none. */
  Optional<UpstreamSelection.CostedUpstream> next(Optional<String> model) {
    return next(model, unused -> true);
  }

  /** Returns the next upstream among those that satisfy the condition, empty if there is none. */
  Optional<UpstreamSelection.CostedUpstream> next(
      Optional<String> model, Predicate<UpstreamSelection.CostedUpstream> condition) {
    VersionRule.PriorAttempts priorAttempts =
        new VersionRule.PriorAttempts(lastFailedVersion, firstInputs);
    versionPreference =
        components
            .versions()
            .preferenceFor(request.service(), request.route(), request.head(), priorAttempts);
    firstInputs =
        firstInputs.or(() -> versionPreference.flatMap(VersionRule.VersionPreference::basis));
    Optional<UpstreamSelection.CostedUpstream> untried =
        chooseExcluding(model, triedUpstreams, condition);
    boolean triedBefore = lastUpstream.isPresent() || request.forwarded().isPresent();
    if (untried.isPresent()
        || !triedBefore
        || !request.route().isRepeatable()
        || chooseExcluding(model, triedUpstreams, unused -> true).isPresent()) {
      return untried;
    }
    return chooseExcluding(model, lastUpstream.map(Set::of).orElse(Set.of()), condition);
  }

  private Optional<UpstreamSelection.CostedUpstream> chooseExcluding(
      Optional<String> model,
      Set<String> excluded,
      Predicate<UpstreamSelection.CostedUpstream> condition) {
    UpstreamSelection.Criteria criteria =
        new UpstreamSelection.Criteria(
            request.service(),
            versionPreference,
            model,
            request.head().generation(),
            request.body().length(),
            Set.copyOf(excluded),
            requestGuard.isSuspect(),
            request.route().goalMillis(),
            components.reservations().preferenceOf(request.service(), request.route()));
    return components.selection().choose(criteria, components.clock().instant(), condition);
  }

  /** Records that the request is being sent to the upstream. */
  void recordSent(String upstream) {
    triedUpstreams.add(upstream);
    sentUpstreams.add(upstream);
    lastUpstream = Optional.of(upstream);
  }

  /** Records that nothing was written to the upstream. */
  void recordNotSent(String upstream) {
    sentUpstreams.remove(upstream);
  }

  /** Returns the upstreams that may have received the request from this instance. */
  List<String> sentUpstreams() {
    return List.copyOf(sentUpstreams);
  }

  /** Records the version on which the request failed last. */
  void recordFailedVersion(String version) {
    lastFailedVersion = Optional.of(version);
  }

  /** Returns the version on which the request failed last. */
  Optional<String> lastFailedVersion() {
    return lastFailedVersion;
  }

  /**
   * Logs why the request is sent to this version during a roll-out.
   *
   * @param line supplies the log statement
   */
  void logVersion(String version, Supplier<FluentLogger.Api> line) {
    versionPreference.ifPresent(preference -> logVersion(preference, version, line));
  }

  private void logVersion(
      VersionRule.VersionPreference preference, String version, Supplier<FluentLogger.Api> line) {
    boolean satisfied = preference.isSatisfiedBy(version);
    if (!satisfied) {
      components.meters().count("version.wish-not-met");
    }
    preference
        .basis()
        .ifPresent(
            inputs ->
                line.get()
                    .log(
                        "version %s %s wanted=%b met=%b failed=%s",
                        version,
                        inputs,
                        preference.wanted(),
                        satisfied,
                        lastFailedVersion.orElse("-")));
  }
}
