// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.pgm;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.oatlug.errors.OatlugException;
import org.oatlug.errors.UsageException;

/** Shows where a request would go and why nowhere else. Stateless. */
final class ExplainCommand implements Command {

  @Override
  public String name() {
    return "explain";
  }

  @Override
  public String arguments() {
    return "WORKSPACE MODEL [--task TASK]";
  }

  @Override
  public String summary() {
    return "show where a request would go, and why each other candidate was passed over";
  }

  @Override
  public String example() {
    return "oatlug explain yard-floor desk --task tagging --instance 127.0.0.1:7101";
  }

  @Override
  public void addOptions(Options options) {
    options.addOption(null, "task", true, "the caller's task name");
  }

  @Override
  public ExitCode call(CommandLine line, List<String> arguments, Session session)
      throws OatlugException {
    if (arguments.size() < 2) {
      throw new UsageException(arguments());
    }
    JsonNode decision =
        session.askInstance(
            "/explain",
            "workspace",
            arguments.get(0),
            "model",
            arguments.get(1),
            "task",
            line.getOptionValue("task", ""));
    TextTable table = TextTable.titled("CANDIDATE", "RESULT");
    JsonNode route = decision.path("route");
    if (route.isObject()) {
      table.add(route.path("version").asText(), "taken, stage " + route.path("stage").asText());
      table.add(route.path("upstream").asText(), "taken");
    } else {
      table.add(arguments.get(1), "refused: " + decision.path("refusal").asText());
    }
    for (JsonNode passed : decision.path("passedOver")) {
      table.add(passed.path("candidate").asText(), passed.path("reason").asText());
    }
    session.print(decision, table);
    return ExitCode.OK;
  }
}
