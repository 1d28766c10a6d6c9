// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.gateway;

import java.util.List;
import java.util.Optional;

/**
 * A service whose upstreams answer requests. Immutable.
 *
 * @param name the name of the service
 * @param maximumConnections the most connections that one upstream accepts from all callers
 * @param engine what is known of its upstreams if they are model engines
 */
public record ServiceDefinition(String name, int maximumConnections, Optional<Engine> engine) {

  /**
   * The size of the model engines of a service.
   *
   * @param slots how many requests run at once
   * @param memoryTokens the tokens that fit into the memory of one engine
   * @param tokensPerEvent the tokens that one event of a stream carries
   * @param models the models that it serves
   */
  public record Engine(int slots, long memoryTokens, int tokensPerEvent, List<Model> models) {}

  /**
   * A model of an engine.
   *
   * @param name the name of the model
   * @param cost the price of 1,000 generated tokens
   */
  public record Model(String name, double cost) {}
}
