// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.pgm;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.apache.commons.cli.CommandLine;
import org.oatlug.errors.OatlugException;

/** Shows an instance and what it knows of its neighbours. Stateless. */
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
  public ExitCode call(CommandLine line, List<String> arguments, Session session)
      throws OatlugException {
    JsonNode status = session.askInstance("/status");
    TextTable table = TextTable.titled("WHAT", "NAME", "STATE");
    String ready = status.path("ready").asBoolean() ? "ready" : "not ready";
    table.add("this", status.path("name").asText(), ready);
    for (JsonNode one : status.path("instances")) {
      String state = one.path("state").asText() + " in " + one.path("zone").asText();
      table.add("instance", one.path("name").asText(), state);
    }
    if (status.path("store").path("epoch").asLong() > 0) {
      table.add("store", "epoch " + status.path("store").path("epoch"), storeState(status));
    }
    for (JsonNode zone : status.path("emptiedZones")) {
      table.add("zone", zone.asText(), "emptied, its upstreams get nothing");
    }
    for (JsonNode one : status.path("rollouts")) {
      table.add("roll-out", one.path("service").asText(), rolloutState(one));
    }
    for (JsonNode one : status.path("heldRequests")) {
      table.add("request", one.path("fingerprint").asText(), heldState(one));
    }
    for (JsonNode one : status.path("upstreams")) {
      String marks =
          (one.path("leaving").asBoolean() ? ", leaving" : "")
              + (one.path("cold").asBoolean() ? ", cold" : "")
              + (one.path("limit").isObject() ? limitState(one.path("limit")) : "")
              + (one.path("restsMillis").asLong() > 0 ? restState(one) : "")
              + (one.path("keptOut").asBoolean() ? ", kept out" : "");
      String state = "load " + one.path("expectedLoad").asText() + marks;
      table.add("upstream", one.path("name").asText(), state);
    }
    session.print(status, table);
    return ExitCode.OK;
  }

  /** Returns since when the store's epoch is known, and what counts although it shows otherwise. */
  private static String storeState(JsonNode status) {
    JsonNode store = status.path("store");
    List<String> retained = new ArrayList<>();
    store.path("retained").forEach(one -> retained.add(one.asText()));
    return String.format(
        Locale.ROOT,
        "known for %.1f s, retained: %s, awaited: %d",
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

  private static String restState(JsonNode upstream) {
    double seconds = upstream.path("restsMillis").asLong() / MILLIS_PER_SECOND;
    return String.format(Locale.ROOT, ", rests for %.1f s", seconds);
  }

  /** Returns why a request runs alone or not at all, and for how long. */
  private static String heldState(JsonNode held) {
    return String.format(
        Locale.ROOT,
        "%s of %s, %d upstreams ended under it, for %.0f s",
        held.path("verdict").asText().toLowerCase(Locale.ROOT),
        held.path("subject").asText(),
        held.path("ended").size(),
        held.path("lapsesMillis").asLong() / MILLIS_PER_SECOND);
  }

  /** Returns how far a roll-out has come at this instance, in hundredths. */
  private static String rolloutState(JsonNode rollout) {
    return String.format(
        Locale.ROOT,
        "to %s, %.0f%% of its time, share %.0f%%, evidence %.1f of %d answers%s",
        rollout.path("version").asText(),
        PERCENT * rollout.path("part").asDouble(),
        PERCENT * rollout.path("share").asDouble(),
        rollout.path("evidence").asDouble(),
        rollout.path("answers").asLong(),
        rollout.path("refuted").asBoolean() ? ", refuted" : "");
  }
}
