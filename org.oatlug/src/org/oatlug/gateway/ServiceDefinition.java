// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.gateway;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import java.util.List;
import java.util.Optional;

/**
 * A service whose upstreams answer requests. Immutable.
 *
 * @param name the name of the service
 * @param maximumConnections the most connections that one upstream accepts from all callers
 * @param engine what is known of its upstreams if they are model engines
 * @param coldStart what its upstreams bear shortly after a start, empty if all at once
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record ServiceDefinition(
    String name, int maximumConnections, Optional<Engine> engine, Optional<ColdStart> coldStart) {

  /** Takes what an earlier version of this software does not tell for unknown. */
  public ServiceDefinition {
    coldStart = coldStart == null ? Optional.empty() : coldStart;
  }

  /** Returns a service whose upstreams bear all requests at once. */
  public static ServiceDefinition of(String name, int maximumConnections, Optional<Engine> engine) {
    return new ServiceDefinition(name, maximumConnections, engine, Optional.empty());
  }

  /**
   * What an upstream bears while it is cold.
   *
   * @param millis how long it is cold after a start, in milliseconds
   * @param requestsPerSecond how many requests it carries in a second, from all instances together
   */
  public record ColdStart(long millis, double requestsPerSecond) {}

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
