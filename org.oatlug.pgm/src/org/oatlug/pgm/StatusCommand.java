// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.pgm;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.oatlug.errors.OatlugException;

/** Shows an instance and what it knows of its neighbours. Stateless. */
final class StatusCommand implements Command {

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
    return "show an instance, the instances it knows, emptied zones and the upstreams";
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
    for (JsonNode zone : status.path("emptiedZones")) {
      table.add("zone", zone.asText(), "emptied, its upstreams get nothing");
    }
    for (JsonNode one : status.path("upstreams")) {
      String marks =
          (one.path("leaving").asBoolean() ? ", leaving" : "")
              + (one.path("cold").asBoolean() ? ", cold" : "")
              + (one.path("keptOut").asBoolean() ? ", kept out" : "");
      String state = "load " + one.path("expectedLoad").asText() + marks;
      table.add("upstream", one.path("name").asText(), state);
    }
    session.print(status, table);
    return ExitCode.OK;
  }
}
