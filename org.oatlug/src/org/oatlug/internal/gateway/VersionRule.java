// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.oatlug.gateway.RequestHead;
import org.oatlug.gateway.Route;

/** Which versions of a service may answer a request while a roll-out runs. */
public interface VersionRule {

  /** What becomes of a wish that no upstream meets now. */
  enum Firmness {
    /** Any version answers. */
    PREFERRED,
    /**
     * Another version answers only once none of this one is left: a session keeps its version, and
     * a refusal now costs it less than another version in the middle.
     */
    KEPT,
    /** No other version answers. */
    REQUIRED
  }

  /**
   * A wish for versions.
   *
   * @param version the version that is spoken of
   * @param wanted whether it has to answer, or any other one
   * @param firmness what becomes of it if no upstream meets it
   * @param basis what it rests on, empty once the roll-out has ended
   */
  record Wish(String version, boolean wanted, Firmness firmness, Optional<VersionBasis> basis) {
    /** Returns whether the version may answer. */
    public boolean isMetBy(String other) {
      return version.equals(other) == wanted;
    }
  }

  /**
   * What a request has been through.
   *
   * @param failedVersion the version that failed it just before, empty for none
   * @param basis what its first wish rested on, empty for none
   */
  record Tried(Optional<String> failedVersion, Optional<VersionBasis> basis) {
    /** Nothing yet. */
    public static final Tried NOTHING = new Tried(Optional.empty(), Optional.empty());
  }

  /**
   * An answer of a version.
   *
   * @param service the service
   * @param version the version that answered
   * @param route the route
   * @param model the model, empty for none
   * @param failed whether it was a failure
   * @param took the time to the head of the answer
   */
  record Answer(
      String service, String version, Route route, String model, boolean failed, Duration took) {}

  /**
   * Returns the wish for a request, empty if any version may answer.
   *
   * @param tried what the request has been through
   */
  Optional<Wish> wishFor(String service, RequestHead head, Tried tried);

  /** Takes in that a request was sent to a version. */
  void sent(String service, String version, RequestHead head);

  /** Takes in an answer. */
  void answered(Answer answer);

  /**
   * How fast a version makes the events of a stream.
   *
   * @param service the service
   * @param version the version that answers
   * @param route the route
   * @param model the model, empty for none
   * @param millisPerEvent the mean time between events
   */
  record Pace(String service, String version, Route route, String model, double millisPerEvent) {}

  /** Takes in how fast a stream goes. */
  void paced(Pace pace);

  /** Returns how far the roll-outs have come that run, as seen here. */
  List<RolloutStatus> status();
}
