// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.gateway;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import java.util.List;
import java.util.Optional;

/**
 * Definition of a service, whose upstreams serve requests. Immutable.
 *
 * @param name the name of the service
 * @param maximumConnections the maximum number of connections that one upstream accepts from all
 *     clients
 * @param engine the capacity and models of its upstreams if they are model engines
 * @param coldStart the reduced capacity of its upstreams after a start, empty if they have their
 *     full capacity at once
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record ServiceDefinition(
    String name, int maximumConnections, Optional<Engine> engine, Optional<ColdStart> coldStart) {

  /** Replaces a field that earlier versions of this software do not write by an empty value. */
  public ServiceDefinition {
    coldStart = coldStart == null ? Optional.empty() : coldStart;
  }

  /** Returns a service whose upstreams have their full capacity at once. */
  public static ServiceDefinition of(String name, int maximumConnections, Optional<Engine> engine) {
    return new ServiceDefinition(name, maximumConnections, engine, Optional.empty());
  }

  /**
   * Capacity of an upstream during its cold start.
   *
   * @param millis the duration of the cold start, in milliseconds
   * @param requestsPerSecond the requests per second that it sustains from all instances together
   */
  public record ColdStart(long millis, double requestsPerSecond) {}

  /**
   * Capacity and models of the engines of a service.
   *
   * @param slots the maximum number of concurrently running requests
   * @param memoryTokens the capacity of the memory of one engine, in tokens
   * @param tokensPerEvent the number of tokens per event of a stream
   * @param models the models that each engine serves
   */
  public record Engine(int slots, long memoryTokens, int tokensPerEvent, List<Model> models) {}

  /**
   * Model that an engine serves.
   *
   * @param name the name of the model
   * @param cost the price of 1,000 generated tokens
   */
  public record Model(String name, double cost) {}
}
