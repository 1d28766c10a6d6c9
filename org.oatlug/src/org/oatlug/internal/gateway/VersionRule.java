// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.oatlug.gateway.RequestHead;
import org.oatlug.gateway.Route;

/** Decides which versions of a service may answer a request during a roll-out. */
public interface VersionRule {

  /** The behaviour if no available upstream satisfies a preference. */
  enum Firmness {
    /** Any version may answer instead. */
    PREFERRED,
    /**
     * Another version may answer only if no upstream of this version remains in service. A session
     * keeps its version, as a refusal costs it less than a change of version between its requests.
     */
    KEPT,
    /** No other version may answer. */
    REQUIRED
  }

  /**
   * A preference for or against a version.
   *
   * @param version the version concerned
   * @param wanted true if this version is to answer, false if any version but this
   * @param firmness the behaviour if no available upstream satisfies the preference
   * @param basis the inputs of the choice, empty once the roll-out has ended
   */
  record VersionPreference(
      String version, boolean wanted, Firmness firmness, Optional<VersionDecisionInputs> basis) {
    /** Returns whether the version satisfies the preference. */
    public boolean isSatisfiedBy(String answeringVersion) {
      return version.equals(answeringVersion) == wanted;
    }
  }

  /**
   * The earlier attempts of a request.
   *
   * @param failedVersion the version on which the previous attempt failed, empty for none
   * @param inputs the inputs of the request's first version choice, empty for none
   */
  record PriorAttempts(Optional<String> failedVersion, Optional<VersionDecisionInputs> inputs) {
    /** No earlier attempt. */
    public static final PriorAttempts NONE = new PriorAttempts(Optional.empty(), Optional.empty());
  }

  /**
   * An answer of a version.
   *
   * @param service the service
   * @param version the version that answered
   * @param route the route
   * @param model the model, empty for none
   * @param failed whether the request failed
   * @param timeToHead the time to the response head
   */
  record Response(
      String service,
      String version,
      Route route,
      String model,
      boolean failed,
      Duration timeToHead) {}

  /**
   * Returns the version preference for a request, empty if any version may answer.
   *
   * @param priorAttempts the earlier attempts of the request
   */
  Optional<VersionPreference> preferenceFor(
      String service, Route route, RequestHead head, PriorAttempts priorAttempts);

  /** Records that a request was sent to a version. */
  void recordSent(String service, String version, RequestHead head);

  /** Records an answer. */
  void recordResponse(Response response);

  /** Records a request that ended before its answer began, after the given time. */
  void recordUnanswered(Response request);

  /**
   * The mean interval at which a version generates the events of a stream.
   *
   * @param service the service
   * @param version the version that answers
   * @param route the route
   * @param model the model, empty for none
   * @param millisPerEvent the mean time between events, in milliseconds
   */
  record EventInterval(
      String service, String version, Route route, String model, double millisPerEvent) {}

  /** Records the event interval of a stream. */
  void recordEventInterval(EventInterval interval);

  /** Returns the progress of the running roll-outs as this instance sees it. */
  List<RolloutStatus> status();
}
