// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.gateway;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

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

  private static final int MILLIS_PER_SECOND = 1000;
  private static final int MOST_PORT = 65_535;

  /** Refuses settings that lack a field. */
  public GatewaySettings {
    requireField("name", name);
    requireField("zone", zone);
    requireField("callers", callers);
    requireField("readiness", readiness);
    requireField("peers", peers);
    requireField("platform", platform);
    requireField("bounds", bounds);
    require(isPort(metrics), "metrics is " + metrics + ", not a port of 1 to " + MOST_PORT);
  }

  private static void requireField(String field, Object value) {
    require(value != null, field + " is missing");
  }

  private static boolean isPort(int number) {
    return number > 0 && number <= MOST_PORT;
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
    public static Endpoint parse(String text) {
      int colon = text.lastIndexOf(':');
      String port = text.substring(colon + 1);
      boolean sound = colon > 0 && port.matches("\\d{1,5}") && isPort(Integer.parseInt(port));
      require(sound, "'" + text + "' is not HOST:PORT");
      return new Endpoint(text.substring(0, colon), Integer.parseInt(port));
    }

    @Override
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
   * @param grace how long a planned stop may take
   * @param retryShare the retries that a service may receive, as a share of its requests
   * @param retryReserve the retries beyond that share, of all instances together
   * @param exposureShare the share of requests that a version under roll-out may receive
   * @param session the longest pause between requests of one session
   * @param coldShare the requests that a cold upstream may receive in one second from all instances
   *     together, as a multiple of those that it says it carries
   * @param coldReserve the requests beyond that
   */
  public record Bounds(
      Duration grace,
      double retryShare,
      double retryReserve,
      double exposureShare,
      Duration session,
      double coldShare,
      double coldReserve) {
    /** Without a promise about planned stops one ends soon. */
    private static final double DEFAULT_GRACE_SECONDS = 5;

    /** Without a promise about retries there are few. */
    private static final double DEFAULT_RETRY_SHARE = 0.1;

    private static final double DEFAULT_RETRY_RESERVE = 10;

    /** Without a promise about new versions they get little. */
    private static final double DEFAULT_EXPOSURE_SHARE = 0.05;

    /** Sessions that are kept for longer than promised do no harm. */
    private static final double DEFAULT_SESSION_SECONDS = 30;

    /** Without a promise about cold upstreams they get no more than they say they carry. */
    private static final double DEFAULT_COLD_SHARE = 1;

    private static final double DEFAULT_COLD_RESERVE = 0;

    /** No time among the bounds is longer: an hour. */
    private static final double MOST_SECONDS = 3600;

    /** No count among the bounds is larger. */
    private static final double MOST_COUNT = 1e9;

    /**
     * Returns bounds as the settings name them; a field that is missing has a default that is safe.
     *
     * @throws IllegalArgumentException if a value makes no sense, with its field and unit
     */
    public static Bounds of(
        Optional<Double> graceSeconds,
        Optional<Double> retryShare,
        Optional<Double> retryReserve,
        Optional<Double> exposureShare,
        Optional<Double> sessionSeconds,
        Optional<Double> coldShare,
        Optional<Double> coldReserve) {
      return new Bounds(
          seconds("graceSeconds", graceSeconds, DEFAULT_GRACE_SECONDS),
          within("retryShare", retryShare, DEFAULT_RETRY_SHARE, MOST_COUNT, "retries a request"),
          within("retryReserve", retryReserve, DEFAULT_RETRY_RESERVE, MOST_COUNT, "retries"),
          within("exposureShare", exposureShare, DEFAULT_EXPOSURE_SHARE, 1, "of all requests"),
          seconds("sessionSeconds", sessionSeconds, DEFAULT_SESSION_SECONDS),
          within("coldShare", coldShare, DEFAULT_COLD_SHARE, MOST_COUNT, "times what is carried"),
          within("coldReserve", coldReserve, DEFAULT_COLD_RESERVE, MOST_COUNT, "requests"));
    }

    private static Duration seconds(String field, Optional<Double> value, double missing) {
      double seconds = within(field, value, missing, MOST_SECONDS, "seconds");
      return Duration.ofMillis(Math.round(seconds * MILLIS_PER_SECOND));
    }

    private static double within(
        String field, Optional<Double> value, double missing, double most, String unit) {
      double taken = value.orElse(missing);
      require(
          taken >= 0 && taken <= most,
          String.format("bounds.%s is %s, not 0 to %.0f %s", field, taken, most, unit));
      return taken;
    }
  }
}
