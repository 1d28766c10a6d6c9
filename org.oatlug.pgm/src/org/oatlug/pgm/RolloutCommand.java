// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.pgm;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.oatlug.api.ObjectKey;
import org.oatlug.config.Kinds;
import org.oatlug.errors.OatlugException;
import org.oatlug.errors.UsageException;
import org.oatlug.internal.util.Json;
import org.oatlug.platform.StoredObject;

/** Starts, halts, finishes and shows roll-outs. Stateless. */
final class RolloutCommand implements Command {
  private static final String STATE = "state";

  @Override
  public String name() {
    return "rollout";
  }

  @Override
  public String arguments() {
    return "start NAME --model M --candidate V --weight PERCENT [--on-halt keep|withdraw]"
        + " | halt NAME | finish NAME | status";
  }

  @Override
  public String summary() {
    return "start, halt, finish or show roll-outs";
  }

  @Override
  public String example() {
    return "oatlug rollout start fast --model fast --candidate fast-v2 --weight 10"
        + " --platform 127.0.0.1:7000";
  }

  @Override
  public void addOptions(Options options) {
    options.addOption(null, "model", true, "the model");
    options.addOption(null, "candidate", true, "the version under roll-out");
    options.addOption(null, "weight", true, "the share of new sessions, in percent");
    options.addOption(null, "on-halt", true, "keep or withdraw the candidate's sessions");
  }

  @Override
  public ExitCode call(CommandLine line, List<String> arguments, CommandSession session)
      throws OatlugException {
    if (arguments.equals(List.of("status"))) {
      return status(session);
    }
    if (arguments.size() < 2) {
      throw new UsageException(arguments());
    }
    ObjectPublisher publisher = ObjectPublisher.of(line, session);
    ObjectKey key = ObjectKey.valueOf(Kinds.ROLLOUT, arguments.get(1));
    switch (arguments.get(0)) {
      case "start" -> publisher.publish(key, contentOf(line));
      case "halt" -> publisher.change(key, existing -> existing.put(STATE, "halted"));
      case "finish" -> publisher.change(key, existing -> existing.put(STATE, "finished"));
      default -> throw new UsageException(arguments());
    }
    return publisher.result();
  }

  private static ObjectNode contentOf(CommandLine line) throws UsageException {
    ObjectNode content = Json.STRICT.createObjectNode();
    content.put("model", line.getOptionValue("model"));
    content.put("candidate", line.getOptionValue("candidate"));
    try {
      content.put("weightPercent", Integer.parseInt(line.getOptionValue("weight", "5")));
    } catch (NumberFormatException e) {
      throw new UsageException("--weight is not a number");
    }
    content.put(STATE, "running");
    content.put("onHalt", line.getOptionValue("on-halt", "keep"));
    return content;
  }

  private static ExitCode status(CommandSession session) throws OatlugException {
    ArrayNode array = Json.STRICT.createArrayNode();
    TextTable table = TextTable.titled("NAME", "MODEL", "CANDIDATE", "WEIGHT", "STATE");
    List<String> kinds = List.of(Kinds.ROLLOUT);
    for (StoredObject object : session.await(session.platform().list(kinds)).objects()) {
      array.add(Json.STRICT.valueToTree(object));
      table.add(
          object.key().name(),
          object.value().path("model").asText(),
          object.value().path("candidate").asText(),
          object.value().path("weightPercent").asText() + "%",
          object.value().path(STATE).asText());
    }
    session.print(array, table);
    return ExitCode.OK;
  }
}
