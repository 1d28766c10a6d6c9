// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import java.util.Optional;
import org.oatlug.internal.gateway.VersionRule.Firmness;
import org.oatlug.internal.gateway.VersionRule.Wish;

/**
 * To which version a request goes while one is brought in. Pure, immutable.
 *
 * <p>Load pattern: callers move to other instances in great number, because instances are restarted
 * in turn, killed, or another zone takes over, and most of their sessions go on. Invariants: a
 * session that goes on stays at its version, but for moves to the new one in the second half; one
 * of which nothing is known goes by its share, once what was seen before the order is known.
 *
 * @param target the version that is brought in
 * @param basis what is known of the session and of the roll-out
 * @param chosen whether the share of the new version takes in the session
 * @param suspicious whether the request failed at the new version and others speak against it, too
 * @param settling whether it may be unknown here that the session goes on
 * @param mayMove whether sessions that go on may move to the new version
 */
record VersionChoice(
    String target,
    VersionBasis basis,
    boolean chosen,
    boolean suspicious,
    boolean settling,
    boolean mayMove) {

  /** Returns the wish for the request. */
  Wish wish() {
    return basis.isUnknown() ? ofNewSession() : ofKnownSession();
  }

  private Wish ofNewSession() {
    boolean waits = settling && basis.session().isPresent();
    return wishOf(chosen && !suspicious && !waits, Firmness.PREFERRED);
  }

  private Wish ofKnownSession() {
    boolean isThere = basis.before().equals(target);
    boolean moves = !isThere && chosen && mayMove && !suspicious;
    return wishOf(isThere || moves, moves ? Firmness.PREFERRED : Firmness.KEPT);
  }

  private Wish wishOf(boolean wanted, Firmness firmness) {
    return new Wish(target, wanted, firmness, Optional.of(basis));
  }
}
