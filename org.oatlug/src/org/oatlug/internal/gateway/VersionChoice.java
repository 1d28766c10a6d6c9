// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import java.util.Optional;
import org.oatlug.internal.gateway.VersionRule.Firmness;
import org.oatlug.internal.gateway.VersionRule.VersionPreference;

/**
 * Chooses the version for a request during a roll-out. Pure, immutable.
 *
 * <p>Load pattern: many callers move to other instances at a time, because instances are restarted
 * in turn or killed, or another availability zone takes over, and most of their sessions continue.
 * Invariants: a known session stays on its version, except for moves to the new version in the
 * second half of the duration; an unknown session is assigned by the share, once the sessions seen
 * before the order have been replicated.
 *
 * @param target the version that is rolled out
 * @param inputs the knowledge of the session and of the roll-out
 * @param isInShare whether the share of the new version includes the session
 * @param suspicious whether the request failed on the new version and there is other evidence
 *     against it
 * @param settling whether a session that continues may still be unknown to this instance
 * @param mayMove whether known sessions may move to the new version
 */
record VersionChoice(
    String target,
    VersionDecisionInputs inputs,
    boolean isInShare,
    boolean suspicious,
    boolean settling,
    boolean mayMove) {

  /** Returns the version preference for the request. */
  VersionPreference preference() {
    return inputs.isUnknown() ? preferenceForNewSession() : preferenceForKnownSession();
  }

  private VersionPreference preferenceForNewSession() {
    boolean mustWait = settling && inputs.session().isPresent();
    return preferenceOf(isInShare && !suspicious && !mustWait, Firmness.PREFERRED);
  }

  private VersionPreference preferenceForKnownSession() {
    boolean isOnTarget = inputs.before().equals(target);
    boolean moves = !isOnTarget && isInShare && mayMove && !suspicious;
    return preferenceOf(isOnTarget || moves, moves ? Firmness.PREFERRED : Firmness.KEPT);
  }

  private VersionPreference preferenceOf(boolean wanted, Firmness firmness) {
    return new VersionPreference(target, wanted, firmness, Optional.of(inputs));
  }
}
