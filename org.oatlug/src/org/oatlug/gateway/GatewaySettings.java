// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.gateway;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.util.List;
import java.util.stream.Stream;

/**
 * The settings of one entry instance that serves routed services. Immutable.
 *
 * @param name the name of the instance
 * @param zone its availability zone
 * @param callers where callers connect
 * @param readiness where the balancer asks whether the instance is ready
 * @param metrics the port of the counters and histograms, on the host of {@code callers}
 * @param peers where other instances connect, the shared key, and some of them to begin with
 * @param platform the deployment's store
 * @param bounds what the deployment promises its users
 */
public record GatewaySettings(
    String name,
    String zone,
    Endpoint callers,
    Endpoint readiness,
    int metrics,
    Peers peers,
    Endpoint platform,
    Bounds bounds) {

  /** Refuses settings that lack a field. */
  public GatewaySettings {
    Stream.of(name, zone, callers, readiness, peers, platform, bounds)
        .forEach(field -> require(field != null, "a field is missing"));
    require(metrics > 0, "metrics is no port");
  }

  private static void require(boolean holds, String problem) {
    if (!holds) {
      throw new IllegalArgumentException(problem);
    }
  }

  /**
   * An address, written {@code HOST:PORT}.
   *
   * @param host the IP number
   * @param port the port
   */
  public record Endpoint(String host, int port) {
    /** Returns the address that the text names. */
    @JsonCreator
    public static Endpoint parse(String text) {
      int colon = text.lastIndexOf(':');
      require(colon > 0, "'" + text + "' is not HOST:PORT");
      return new Endpoint(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }

    @Override
    @JsonValue
    public String toString() {
      return host + ":" + port;
    }
  }

  /**
   * The peers' protocol.
   *
   * @param listen where other instances connect
   * @param key the shared key
   * @param seeds instances to begin with; may be out of date
   */
  public record Peers(Endpoint listen, String key, List<Endpoint> seeds) {
    @Override
    public String toString() {
      return "Peers[" + listen + "]";
    }
  }

  /**
   * What the deployment promises its users.
   *
   * @param graceMillis how long a planned stop may take
   * @param retryShare the retries that a service may receive, as a share of its requests
   * @param retryReserve the retries beyond that share, of all instances together
   * @param exposureShare the share of requests that a version under roll-out may receive
   * @param sessionMillis the longest pause between requests of one session
   */
  public record Bounds(
      long graceMillis,
      double retryShare,
      double retryReserve,
      double exposureShare,
      long sessionMillis) {

    /** Refuses bounds that make no sense. */
    public Bounds {
      require(graceMillis >= 0, "graceMillis is negative");
      require(retryShare >= 0 && retryReserve >= 0, "the retry budget is negative");
      require(exposureShare >= 0 && exposureShare <= 1, "exposureShare is no share");
      require(sessionMillis >= 0, "sessionMillis is negative");
    }
  }
}
