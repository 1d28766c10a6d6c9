// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import java.util.OptionalLong;

/**
 * The inputs of a version choice: the knowledge of the request's session and the progress of the
 * roll-out as this instance sees it. Immutable.
 *
 * @param session the hash of the session, empty if the request belongs to none
 * @param knowledge how the session is known
 * @param before the version that the session used last, empty if it is not known
 * @param ageMillis the time since the session's last known request, in milliseconds
 * @param part the fraction of the duration that has elapsed
 * @param share the share of the sessions that the new version receives, 0 to 1
 */
public record VersionDecisionInputs(
    OptionalLong session,
    Knowledge knowledge,
    String before,
    long ageMillis,
    double part,
    double share) {

  /** The source of the knowledge of a session. */
  public enum Knowledge {
    /** This instance sent a request of the session. */
    SEEN_HERE,
    /** Another instance replicated the session. */
    TOLD,
    /** The session is not known. */
    UNKNOWN,
    /** The request belongs to no session. */
    NO_SESSION
  }

  /** Returns whether the request belongs to no session or to an unknown one. */
  boolean isUnknown() {
    return knowledge == Knowledge.UNKNOWN || knowledge == Knowledge.NO_SESSION;
  }

  /** Returns these inputs with the session knowledge of the other inputs. */
  VersionDecisionInputs withKnowledgeOf(VersionDecisionInputs other) {
    return new VersionDecisionInputs(
        session, other.knowledge, other.before, other.ageMillis, part, share);
  }

  /** Returns log fields; concatenated and not formatted, because every attempt logs them. */
  @Override
  public String toString() {
    String sessionText = session.isPresent() ? Long.toHexString(session.getAsLong()) : "-";
    return "session="
        + sessionText
        + " known="
        + knowledge
        + " before="
        + (before.isEmpty() ? "-" : before)
        + " age="
        + ageMillis
        + " part="
        + roundToThousandths(part)
        + " share="
        + roundToThousandths(share);
  }

  private static double roundToThousandths(double value) {
    return Math.round(value * 1000) / 1000.0;
  }
}
