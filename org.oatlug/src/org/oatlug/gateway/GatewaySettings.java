// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.gateway;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * Settings of one entry instance that serves routed services. Immutable.
 *
 * @param name the name of the instance
 * @param zone its availability zone
 * @param callers the address for connections of callers
 * @param readiness the address of the readiness check of the load balancer
 * @param metrics the port of the counters and histograms, on the host of {@code callers}
 * @param peers the address for connections of other instances, the shared key and the seeds
 * @param platform the address of the deployment's store
 * @param bounds the service levels that the deployment guarantees
 * @param loadManagement the parts of load management that are in use
 */
public record GatewaySettings(
    String name,
    String zone,
    Endpoint callers,
    Endpoint readiness,
    int metrics,
    Peers peers,
    Endpoint platform,
    Bounds bounds,
    LoadManagement loadManagement) {

  private static final int MILLIS_PER_SECOND = 1000;
  private static final int MAXIMUM_PORT = 65_535;

  /** Rejects settings that lack a field or have an invalid port. */
  public GatewaySettings {
    requireField("name", name);
    requireField("zone", zone);
    requireField("callers", callers);
    requireField("readiness", readiness);
    requireField("peers", peers);
    requireField("platform", platform);
    requireField("bounds", bounds);
    requireField("loadManagement", loadManagement);
    require(isPort(metrics), "metrics is " + metrics + ", not a port of 1 to " + MAXIMUM_PORT);
  }

  private static void requireField(String field, Object value) {
    require(value != null, field + " is missing");
  }

  private static boolean isPort(int number) {
    return number > 0 && number <= MAXIMUM_PORT;
  }

  private static void require(boolean condition, String problem) {
    if (!condition) {
      throw new IllegalArgumentException(problem);
    }
  }

  /**
   * Network address, written {@code HOST:PORT}.
   *
   * @param host the IP address
   * @param port the port
   */
  public record Endpoint(String host, int port) {
    /**
     * Parses an address.
     *
     * @throws IllegalArgumentException if the text is not {@code HOST:PORT} with a valid port
     */
    public static Endpoint parse(String text) {
      int colon = text.lastIndexOf(':');
      String port = text.substring(colon + 1);
      boolean valid = colon > 0 && port.matches("\\d{1,5}") && isPort(Integer.parseInt(port));
      require(valid, "'" + text + "' is not HOST:PORT");
      return new Endpoint(text.substring(0, colon), Integer.parseInt(port));
    }

    @Override
    public String toString() {
      return host + ":" + port;
    }
  }

  /**
   * Settings of the protocol between instances.
   *
   * @param listen the address for connections of other instances
   * @param key the shared key
   * @param seeds the instances to contact first; may be out of date
   * @param forwarding the port for requests that other instances forward, 0 for any free one
   */
  public record Peers(Endpoint listen, String key, List<Endpoint> seeds, int forwarding) {
    /** Rejects settings whose port for forwarded requests is invalid. */
    public Peers {
      require(
          forwarding == 0 || isPort(forwarding),
          "peers.forwarding is " + forwarding + ", not a port of 0 to " + MAXIMUM_PORT);
    }

    @Override
    public String toString() {
      return "Peers[" + listen + "]";
    }
  }

  /** State of a part of load management. */
  public enum Switch {
    /** The part is not used. */
    OFF,
    /** The part is used for the services whose published configuration calls for it. */
    AUTO,
    /** The part is used for all services. */
    ON;

    /**
     * Parses a switch; a missing one is off.
     *
     * @throws IllegalArgumentException if the text is not {@code off}, {@code auto} or {@code on}
     */
    public static Switch parse(String field, Optional<String> text) {
      return switch (text.orElse("off")) {
        case "off" -> OFF;
        case "auto" -> AUTO;
        case "on" -> ON;
        default ->
            throw new IllegalArgumentException(
                "loadManagement." + field + " is '" + text.get() + "', not off, auto or on");
      };
    }

    /** Returns whether the part is used, given whether the configuration calls for it. */
    public boolean isOn(boolean configured) {
      return this == ON || this == AUTO && configured;
    }
  }

  /**
   * The parts of load management that are in use; see docs/design/load-management.md and
   * docs/design/instance-overload.md.
   *
   * @param queue the queue of requests that may wait
   * @param pace the pace of upstreams
   * @param shares the shares of workspaces
   * @param reservation the reservation of engines for deferrable requests
   * @param escalation the weight of load and urgency when a larger model is considered
   * @param connections the admission of new connections while the instance is overloaded
   * @param readers the buffers for callers that stop reading
   * @param retries the return times of refused callers, and the precedence of their retries
   * @param accepting the limit of accepted connections while the instance is slow itself
   */
  public record LoadManagement(
      Switch queue,
      Switch pace,
      Switch shares,
      Switch reservation,
      Switch escalation,
      Switch connections,
      Switch readers,
      Switch retries,
      Switch accepting) {
    /** No part is in use. */
    public static final LoadManagement OFF =
        new LoadManagement(
            Switch.OFF,
            Switch.OFF,
            Switch.OFF,
            Switch.OFF,
            Switch.OFF,
            Switch.OFF,
            Switch.OFF,
            Switch.OFF,
            Switch.OFF);
  }

  /**
   * Service levels that the deployment guarantees.
   *
   * @param grace the maximum duration of a planned shutdown
   * @param retryShare the maximum retries of a service, as a share of its requests
   * @param retryReserve the retries allowed beyond that share, by all instances together
   * @param exposureShare the maximum share of requests to a version under roll-out
   * @param session the time without a request after which a session ends
   * @param coldShare the maximum requests per second to a cold upstream from all instances
   *     together, as a multiple of the rate that it advertises
   * @param coldReserve the requests allowed beyond that rate
   * @param configuration the maximum time from the acknowledgement of a configuration until it is
   *     in force everywhere
   * @param drain the maximum time from the announcement of an upstream that it is leaving until it
   *     receives no requests
   */
  public record Bounds(
      Duration grace,
      double retryShare,
      double retryReserve,
      double exposureShare,
      Duration session,
      double coldShare,
      double coldReserve,
      Duration configuration,
      Duration drain) {
    /** Default grace period: a planned shutdown ends soon. */
    private static final double DEFAULT_GRACE_SECONDS = 5;

    /** Default bound on retries: few are allowed. */
    private static final double DEFAULT_RETRY_SHARE = 0.1;

    private static final double DEFAULT_RETRY_RESERVE = 10;

    /** Default bound on exposure: a new version receives little traffic. */
    private static final double DEFAULT_EXPOSURE_SHARE = 0.05;

    /** Default session time; a session that is kept for longer than guaranteed is harmless. */
    private static final double DEFAULT_SESSION_SECONDS = 30;

    /** Default bound for cold upstreams: the advertised rate is not exceeded. */
    private static final double DEFAULT_COLD_SHARE = 1;

    private static final double DEFAULT_COLD_RESERVE = 0;

    /** Default bound on the time until a change of the store takes effect. */
    private static final double DEFAULT_PROPAGATION_MILLIS = 2000;

    /** Maximum of each duration among the bounds: one hour. */
    private static final double MAXIMUM_SECONDS = 3600;

    /** Maximum of each count among the bounds. */
    private static final double MAXIMUM_COUNT = 1e9;

    /**
     * Returns the bounds of the settings; missing fields have conservative defaults.
     *
     * @throws IllegalArgumentException if a value is out of range; the message names its field and
     *     unit
     */
    public static Bounds of(
        Optional<Double> graceSeconds,
        Optional<Double> retryShare,
        Optional<Double> retryReserve,
        Optional<Double> exposureShare,
        Optional<Double> sessionSeconds,
        Optional<Double> coldShare,
        Optional<Double> coldReserve,
        Optional<Double> configurationMillis,
        Optional<Double> drainMillis) {
      return new Bounds(
          seconds("graceSeconds", graceSeconds, DEFAULT_GRACE_SECONDS),
          checkRange(
              "retryShare", retryShare, DEFAULT_RETRY_SHARE, MAXIMUM_COUNT, "retries per request"),
          checkRange("retryReserve", retryReserve, DEFAULT_RETRY_RESERVE, MAXIMUM_COUNT, "retries"),
          checkRange("exposureShare", exposureShare, DEFAULT_EXPOSURE_SHARE, 1, "of all requests"),
          seconds("sessionSeconds", sessionSeconds, DEFAULT_SESSION_SECONDS),
          checkRange(
              "coldShare",
              coldShare,
              DEFAULT_COLD_SHARE,
              MAXIMUM_COUNT,
              "times the advertised rate"),
          checkRange("coldReserve", coldReserve, DEFAULT_COLD_RESERVE, MAXIMUM_COUNT, "requests"),
          millis("configurationMillis", configurationMillis, DEFAULT_PROPAGATION_MILLIS),
          millis("drainMillis", drainMillis, DEFAULT_PROPAGATION_MILLIS));
    }

    /** Returns the maximum time until any change of the store takes effect. */
    public Duration propagation() {
      return configuration.compareTo(drain) < 0 ? configuration : drain;
    }

    private static Duration millis(String field, Optional<Double> value, double defaultMillis) {
      double maximum = MAXIMUM_SECONDS * MILLIS_PER_SECOND;
      double millis = checkRange(field, value, defaultMillis, maximum, "milliseconds");
      return Duration.ofMillis(Math.round(millis));
    }

    private static Duration seconds(String field, Optional<Double> value, double defaultSeconds) {
      double seconds = checkRange(field, value, defaultSeconds, MAXIMUM_SECONDS, "seconds");
      return Duration.ofMillis(Math.round(seconds * MILLIS_PER_SECOND));
    }

    private static double checkRange(
        String field, Optional<Double> value, double defaultValue, double maximum, String unit) {
      double checked = value.orElse(defaultValue);
      require(
          checked >= 0 && checked <= maximum,
          String.format("bounds.%s is %s, not 0 to %.0f %s", field, checked, maximum, unit));
      return checked;
    }
  }
}
