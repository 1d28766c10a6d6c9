// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.config;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;

/**
 * A model engine or a plain service that answers requests. Immutable.
 *
 * @param kind the kind of the upstream
 * @param host the IP address
 * @param port the port
 * @param zone the availability zone
 * @param serves the versions that an engine serves or the application of a service
 * @param slots the maximum number of concurrent requests
 * @param trustedRefusals whether a refusal guarantees that the request did not run
 * @param leaving whether it is draining before a shutdown
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
  /** The kind of an upstream. */
  public enum Kind {
    @JsonProperty("engine")
    ENGINE,
    @JsonProperty("service")
    SERVICE
  }
}
