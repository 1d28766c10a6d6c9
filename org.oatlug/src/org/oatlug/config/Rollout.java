// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.config;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * The gradual introduction of a candidate version alongside the current one. Immutable.
 *
 * @param model the model
 * @param candidate the version under roll-out
 * @param weightPercent the share of new sessions for the candidate, from 0 to 100
 * @param state the state of the roll-out
 * @param onHalt the treatment of the candidate's sessions when the roll-out halts
 */
public record Rollout(
    String model, String candidate, int weightPercent, State state, OnHalt onHalt) {
  /** The state of a roll-out; only a running one assigns new sessions to its candidate. */
  public enum State {
    @JsonProperty("running")
    RUNNING,
    @JsonProperty("halted")
    HALTED,
    @JsonProperty("finished")
    FINISHED
  }

  /** The treatment of the candidate's sessions when a roll-out halts. */
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
