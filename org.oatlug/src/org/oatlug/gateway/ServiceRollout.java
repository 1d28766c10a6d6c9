// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.gateway;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.Optional;
import java.util.OptionalLong;
import org.oatlug.platform.StoreRevision;

/**
 * Request to move the traffic of a service to a version, with its progress. Immutable.
 *
 * @param service the service
 * @param targetVersion the version that receives the traffic
 * @param orderedAt the revision of the store at which the request was written; it distinguishes
 *     roll-outs to the same version
 * @param durationMillis the maximum duration of the move, in milliseconds
 * @param progress the progress that the system recorded, empty before the start
 */
public record ServiceRollout(
    String service,
    String targetVersion,
    StoreRevision orderedAt,
    long durationMillis,
    Optional<Progress> progress) {

  /** State of a roll-out. */
  public enum State {
    @JsonProperty("running")
    RUNNING,
    @JsonProperty("succeeded")
    SUCCEEDED,
    @JsonProperty("rolled-back")
    ROLLED_BACK
  }

  /**
   * Progress of a roll-out as recorded by the system.
   *
   * @param state the state
   * @param targetVersion the version to which the state refers; a different version belongs to an
   *     earlier roll-out
   * @param startedAtMillis the time of the start, in milliseconds since 1970
   */
  public record Progress(State state, String targetVersion, long startedAtMillis) {}

  /** Returns the state of the current roll-out, empty if it has not started yet. */
  public Optional<State> state() {
    return progress
        .filter(current -> current.targetVersion().equals(targetVersion))
        .map(Progress::state);
  }

  /** Returns the start of the current roll-out in milliseconds since 1970, empty before it. */
  public OptionalLong begunAtMillis() {
    return state()
        .flatMap(unused -> progress)
        .map(current -> OptionalLong.of(current.startedAtMillis()))
        .orElse(OptionalLong.empty());
  }

  /** Returns whether the roll-out has neither succeeded nor been rolled back. */
  public boolean runs() {
    return state().map(current -> current == State.RUNNING).orElse(true);
  }

  /**
   * Returns whether both are states of the same roll-out. A request that was written again after a
   * restore of the store has a new revision, so across epochs the target alone identifies it.
   */
  public boolean isSameRolloutAs(ServiceRollout other) {
    boolean sameTarget = service.equals(other.service) && targetVersion.equals(other.targetVersion);
    boolean restored = orderedAt.epoch() != other.orderedAt.epoch();
    return sameTarget && (restored || orderedAt.equals(other.orderedAt));
  }

  /** Returns the stage, which never decreases: 0 before the start, 1 running, 2 ended. */
  public int stage() {
    return state().map(current -> current == State.RUNNING ? 1 : 2).orElse(0);
  }

  /** Returns the same roll-out with this progress. */
  public ServiceRollout withProgress(Progress newProgress) {
    return new ServiceRollout(
        service, targetVersion, orderedAt, durationMillis, Optional.of(newProgress));
  }
}
