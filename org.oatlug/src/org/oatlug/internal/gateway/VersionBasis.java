// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import java.util.OptionalLong;

/**
 * What a wish for a version rests on: what was known of the request's session, and how far the
 * roll-out had come as seen here. Immutable.
 *
 * @param session the number of the session, empty if the request belongs to none
 * @param knowledge how the session is known
 * @param before the version on which the session was seen last, empty if it is not known
 * @param ageMillis how long ago it was seen there, or heard of, in milliseconds
 * @param part the part of the duration that has passed
 * @param share the share of the sessions that the new version gets
 */
public record VersionBasis(
    OptionalLong session,
    Knowledge knowledge,
    String before,
    long ageMillis,
    double part,
    double share) {

  /** How a session is known. */
  public enum Knowledge {
    /** This instance sent a request of it. */
    SEEN_HERE,
    /** Another instance told of it. */
    TOLD,
    /** Nothing is known of it. */
    UNKNOWN,
    /** The request belongs to no session. */
    NO_SESSION
  }

  /** Returns whether nothing is known of a session to which the request belongs. */
  boolean isUnknown() {
    return knowledge == Knowledge.UNKNOWN || knowledge == Knowledge.NO_SESSION;
  }

  /** Returns this with what another basis knew of the session. */
  VersionBasis knownAsIn(VersionBasis other) {
    return new VersionBasis(session, other.knowledge, other.before, other.ageMillis, part, share);
  }

  /** Returns the fields of a log line; joined and not formatted, as each attempt writes one. */
  @Override
  public String toString() {
    String number = session.isPresent() ? Long.toHexString(session.getAsLong()) : "-";
    return "session="
        + number
        + " known="
        + knowledge
        + " before="
        + (before.isEmpty() ? "-" : before)
        + " age="
        + ageMillis
        + " part="
        + thousandths(part)
        + " share="
        + thousandths(share);
  }

  private static double thousandths(double value) {
    return Math.round(value * 1000) / 1000.0;
  }
}
