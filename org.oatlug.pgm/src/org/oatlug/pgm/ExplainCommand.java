// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.pgm;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Locale;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.oatlug.errors.OatlugException;
import org.oatlug.errors.UsageException;

/** Shows where a request would be routed and why each other candidate is excluded. Stateless. */
final class ExplainCommand implements Command {
  /** Path on both the operator port and the metrics port of an instance. */
  private static final String EXPLAIN_PATH = "/explain";

  @Override
  public String name() {
    return "explain";
  }

  @Override
  public String arguments() {
    return "WORKSPACE MODEL [--task TASK] | --host HOST --path PATH [--tokens PROMPT,OUTPUT]";
  }

  @Override
  public String summary() {
    return "show where a request would go, and why each other candidate is excluded";
  }

  @Override
  public String example() {
    return "oatlug explain yard-floor desk --task tagging --instance 127.0.0.1:7101";
  }

  @Override
  public void addOptions(Options options) {
    options.addOption(null, "task", true, "the caller's task name");
    options.addOption(
        null, "host", true, "the host of a routed service; --instance is a metrics port");
    options.addOption(null, "path", true, "the path of the request");
    options.addOption(null, "tokens", true, "tokens of the prompt, and the maximum to generate");
  }

  @Override
  public ExitCode call(CommandLine line, List<String> arguments, CommandSession session)
      throws OatlugException {
    return line.hasOption("host")
        ? explainRoute(line, session)
        : explainModel(line, arguments, session);
  }

  /** Explains the routing of a request to the chat interface. */
  private ExitCode explainModel(CommandLine line, List<String> arguments, CommandSession session)
      throws OatlugException {
    if (arguments.size() < 2) {
      throw new UsageException(arguments());
    }
    JsonNode decision =
        session.getFromInstance(
            EXPLAIN_PATH,
            "workspace",
            arguments.get(0),
            "model",
            arguments.get(1),
            "task",
            line.getOptionValue("task", ""));
    TextTable table = TextTable.titled("CANDIDATE", "RESULT");
    JsonNode route = decision.path("route");
    if (route.isObject()) {
      table.add(route.path("version").asText(), "selected, stage " + route.path("stage").asText());
      table.add(route.path("upstream").asText(), "selected");
    } else {
      table.add(arguments.get(1), "refused: " + decision.path("refusal").asText());
    }
    for (JsonNode rejected : decision.path("passedOver")) {
      table.add(rejected.path("candidate").asText(), rejected.path("reason").asText());
    }
    session.print(decision, table);
    return ExitCode.OK;
  }

  /** Explains the routing of a request to a routed service. */
  private ExitCode explainRoute(CommandLine line, CommandSession session) throws OatlugException {
    String[] tokens = (line.getOptionValue("tokens", "0,0") + ",0").split(",");
    JsonNode explanation =
        session.getFromInstance(
            EXPLAIN_PATH,
            "host",
            line.getOptionValue("host"),
            "path",
            line.getOptionValue("path", "/"),
            "read",
            tokens[0],
            "made",
            tokens[1]);
    TextTable table = TextTable.titled("ROUTE", "SERVICE", "CANDIDATE", "RESULT");
    String route = explanation.path("route").asText("none");
    for (JsonNode target : explanation.path("targets")) {
      String service = target.path("service").asText();
      for (JsonNode stage : target.path("stages")) {
        String acceptance =
            "answer accepted from confidence " + stage.path("leastConfidence").asInt();
        table.add(route, service, "model " + stage.path("model").asText(), acceptance);
      }
      for (JsonNode upstream : target.path("upstreams")) {
        table.add(route, service, candidateOf(upstream), resultOf(upstream));
      }
    }
    session.print(explanation, table);
    return ExitCode.OK;
  }

  private static String candidateOf(JsonNode upstream) {
    return "%s %s %s"
        .formatted(
            upstream.path("name").asText(),
            upstream.path("zone").asText(),
            upstream.path("version").asText());
  }

  private static String resultOf(JsonNode upstream) {
    String load = ", load " + upstream.path("load").asInt();
    JsonNode cost = upstream.path("costMillis");
    return (cost.isNumber() ? "costs " + cost.asLong() + " ms" : exclusionOf(upstream)) + load;
  }

  /** Returns the reason why an upstream is excluded. */
  private static String exclusionOf(JsonNode upstream) {
    JsonNode reason = upstream.path("out");
    return reason.isTextual()
        ? "excluded, " + reason.asText().toLowerCase(Locale.ROOT)
        : "excluded";
  }
}
