// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.config;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * The introduction of a candidate version beside the current one. Immutable.
 *
 * @param model the model
 * @param candidate the version under roll-out
 * @param weightPercent the share of new sessions for the candidate, from 0 to 100
 * @param state whether it runs
 * @param onHalt what happens to the candidate's sessions when it halts
 */
public record Rollout(
    String model, String candidate, int weightPercent, State state, OnHalt onHalt) {
  /** Whether a roll-out gives its candidate new sessions. */
  public enum State {
    @JsonProperty("running")
    RUNNING,
    @JsonProperty("halted")
    HALTED,
    @JsonProperty("finished")
    FINISHED
  }

  /** What happens to the candidate's sessions when a roll-out halts. */
  public enum OnHalt {
    @JsonProperty("keep")
    KEEP,
    @JsonProperty("withdraw")
    WITHDRAW
  }

  /** Returns this roll-out in another state. */
  public Rollout withState(State newState) {
    return new Rollout(model, candidate, weightPercent, newState, onHalt);
  }
}
