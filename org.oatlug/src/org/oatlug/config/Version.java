// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.config;

import org.oatlug.api.VersionState;

/**
 * A version of a model. Immutable.
 *
 * @param model the name of the model
 * @param state the state of the version
 * @param costPerThousandTokens the cost of 1,000 tokens, in millionths of the billing unit
 */
public record Version(String model, VersionState state, long costPerThousandTokens) {

  /** Returns this version in another state. */
  public Version withState(VersionState newState) {
    return new Version(model, newState, costPerThousandTokens);
  }
}
