// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.config;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;

/**
 * A model engine or a plain service that answers requests. Immutable.
 *
 * @param kind engine or service
 * @param host the IP number
 * @param port the port
 * @param zone the availability zone
 * @param serves the versions of an engine or the application of a service
 * @param slots how many requests run at once
 * @param trustedRefusals whether its refusal means that the request did not run
 * @param leaving whether it is about to go
 */
public record Upstream(
    Kind kind,
    String host,
    int port,
    String zone,
    List<String> serves,
    int slots,
    boolean trustedRefusals,
    boolean leaving) {
  /** What an upstream is. */
  public enum Kind {
    @JsonProperty("engine")
    ENGINE,
    @JsonProperty("service")
    SERVICE
  }
}
