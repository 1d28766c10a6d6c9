// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.pgm;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.apache.commons.cli.CommandLine;
import org.oatlug.errors.OatlugException;

/** Shows the state of an instance and its view of peers, store and upstreams. Stateless. */
final class StatusCommand implements Command {
  private static final double PERCENT = 100;
  private static final double MILLIS_PER_SECOND = 1000;

  @Override
  public String name() {
    return "status";
  }

  @Override
  public String arguments() {
    return "--instance HOST:PORT";
  }

  @Override
  public String summary() {
    return "show an instance, its peers, the store, zones, roll-outs, held requests and upstreams";
  }

  @Override
  public String example() {
    return "oatlug status --instance 127.0.0.1:7101";
  }

  @Override
  public ExitCode call(CommandLine line, List<String> arguments, CommandSession session)
      throws OatlugException {
    JsonNode status = session.getFromInstance("/status");
    TextTable table = TextTable.titled("WHAT", "NAME", "STATE");
    String ready = status.path("ready").asBoolean() ? "ready" : "not ready";
    table.add("this", status.path("name").asText(), ready);
    for (JsonNode instance : status.path("instances")) {
      String state = instance.path("state").asText() + " in " + instance.path("zone").asText();
      table.add("instance", instance.path("name").asText(), state);
    }
    if (status.path("store").path("epoch").asLong() > 0) {
      table.add("store", "epoch " + status.path("store").path("epoch"), storeState(status));
    }
    for (JsonNode zone : status.path("emptiedZones")) {
      table.add("zone", zone.asText(), "evacuated, its upstreams receive no requests");
    }
    for (JsonNode rolloutStatus : status.path("rollouts")) {
      table.add("roll-out", rolloutStatus.path("service").asText(), rolloutState(rolloutStatus));
    }
    for (JsonNode request : status.path("heldRequests")) {
      table.add("request", request.path("fingerprint").asText(), heldRequestState(request));
    }
    for (JsonNode upstreamStatus : status.path("upstreams")) {
      String conditions =
          (upstreamStatus.path("leaving").asBoolean() ? ", leaving" : "")
              + (upstreamStatus.path("cold").asBoolean() ? ", cold" : "")
              + (upstreamStatus.path("limit").isObject()
                  ? limitState(upstreamStatus.path("limit"))
                  : "")
              + (upstreamStatus.path("restsMillis").asLong() > 0
                  ? backOffState(upstreamStatus)
                  : "")
              + (upstreamStatus.path("keptOut").asBoolean() ? ", ejected" : "");
      String state = "load " + upstreamStatus.path("expectedLoad").asText() + conditions;
      table.add("upstream", upstreamStatus.path("name").asText(), state);
    }
    session.print(status, table);
    return ExitCode.OK;
  }

  /**
   * Returns how long the store's epoch has been known, which kinds are retained although the store
   * shows otherwise, and how many objects of earlier epochs it has not listed since.
   */
  private static String storeState(JsonNode status) {
    JsonNode store = status.path("store");
    List<String> retained = new ArrayList<>();
    store.path("retained").forEach(kind -> retained.add(kind.asText()));
    return String.format(
        Locale.ROOT,
        "known for %.1f s, retained: %s, not yet listed: %d",
        store.path("sinceMillis").asLong() / MILLIS_PER_SECOND,
        retained.isEmpty() ? "nothing" : String.join(" ", retained),
        store.path("awaited").asLong());
  }

  private static String limitState(JsonNode limit) {
    return String.format(
        Locale.ROOT,
        ", limit %.1f/s seen %.1f s ago",
        limit.path("requestsPerSecond").asDouble(),
        limit.path("ageMillis").asLong() / MILLIS_PER_SECOND);
  }

  private static String backOffState(JsonNode upstream) {
    double seconds = upstream.path("restsMillis").asLong() / MILLIS_PER_SECOND;
    return String.format(Locale.ROOT, ", backs off for %.1f s", seconds);
  }

  /** Returns why a request or prompt part runs isolated or is refused, and for how long. */
  private static String heldRequestState(JsonNode heldRequest) {
    return String.format(
        Locale.ROOT,
        "%s of %s, %d upstreams crashed while they ran it, %s",
        heldRequest.path("verdict").asText().toLowerCase(Locale.ROOT),
        heldRequest.path("subject").asText(),
        heldRequest.path("ended").size(),
        heldUntil(heldRequest.path("lapsesMillis")));
  }

  private static String heldUntil(JsonNode lapsesMillis) {
    return lapsesMillis.isNumber()
        ? String.format(Locale.ROOT, "for %.0f s", lapsesMillis.asLong() / MILLIS_PER_SECOND)
        : "until it is released";
  }

  /** Returns the version, progress, share and evidence of a roll-out at this instance. */
  private static String rolloutState(JsonNode rollout) {
    return String.format(
        Locale.ROOT,
        "to %s, %.0f%% of its duration, share %.0f%%, evidence %.1f from %d answers%s",
        rollout.path("version").asText(),
        PERCENT * rollout.path("part").asDouble(),
        PERCENT * rollout.path("share").asDouble(),
        rollout.path("evidence").asDouble(),
        rollout.path("answers").asLong(),
        rollout.path("refuted").asBoolean() ? ", version refuted" : "");
  }
}
