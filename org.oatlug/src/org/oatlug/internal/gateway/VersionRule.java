package org.oatlug.internal.gateway;

import java.util.Optional;
import org.oatlug.gateway.RequestHead;
import org.oatlug.gateway.Route;

/** Which version of a service answers a request while a roll-out runs. */
interface VersionRule {

  /** How an answer of a version went. */
  enum Outcome {
    GOOD,
    BAD
  }

  /** Returns the version that has to answer, empty if any may. */
  Optional<String> versionFor(String service, RequestHead head);

  /** Takes in that a version answered a request of the route. */
  void answered(String service, String version, Route route, RequestHead head, Outcome outcome);

  /** Returns the rule that any version may answer. */
  static VersionRule any() {
    return new VersionRule() {
      @Override
      public Optional<String> versionFor(String service, RequestHead head) {
        return Optional.empty();
      }

      @Override
      public void answered(
          String service, String version, Route route, RequestHead head, Outcome outcome) {
        // Nothing is compared while no roll-out is watched.
      }
    };
  }
}
