// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.pgm;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Locale;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.oatlug.api.ObjectKey;
import org.oatlug.api.VersionState;
import org.oatlug.config.Kinds;
import org.oatlug.errors.OatlugException;
import org.oatlug.errors.UsageException;
import org.oatlug.internal.util.Json;

/** Adds a version or changes its state. Stateless. */
final class VersionCommand implements Command {
  private static final String STATE = "state";
  private static final int MINIMUM_ADD_ARGUMENTS = 3;

  @Override
  public String name() {
    return "version";
  }

  @Override
  public String arguments() {
    return "add NAME MODEL --cost N | promote NAME | retire NAME | withdraw NAME [--wait]";
  }

  @Override
  public String summary() {
    return "add a version, or promote, retire or withdraw it";
  }

  @Override
  public String example() {
    return "oatlug version withdraw fast-v2 --wait --platform 127.0.0.1:7000"
        + " --instance 127.0.0.1:7101";
  }

  @Override
  public void addOptions(Options options) {
    options.addOption(null, "cost", true, "cost of a thousand tokens, in millionths of the unit");
  }

  @Override
  public ExitCode call(CommandLine line, List<String> arguments, CommandSession session)
      throws OatlugException {
    if (arguments.size() < 2) {
      throw new UsageException(arguments());
    }
    ObjectPublisher publisher = ObjectPublisher.of(line, session);
    ObjectKey key = ObjectKey.valueOf(Kinds.VERSION, arguments.get(1));
    switch (arguments.get(0)) {
      case "add" -> add(publisher, key, arguments, line);
      case "promote" -> promote(publisher, key);
      case "retire" ->
          publisher.change(key, existing -> withState(existing, VersionState.RETIRING));
      case "withdraw" ->
          publisher.change(key, existing -> withState(existing, VersionState.WITHDRAWN));
      default -> throw new UsageException(arguments());
    }
    return publisher.result();
  }

  private void add(
      ObjectPublisher publisher, ObjectKey key, List<String> arguments, CommandLine line)
      throws OatlugException {
    if (arguments.size() < MINIMUM_ADD_ARGUMENTS) {
      throw new UsageException(arguments());
    }
    ObjectNode content = Json.STRICT.createObjectNode();
    content.put("model", arguments.get(2));
    content.put(STATE, nameOf(VersionState.CANDIDATE));
    content.put("costPerThousandTokens", costOf(line));
    publisher.publish(key, content);
  }

  private static long costOf(CommandLine line) throws UsageException {
    try {
      return Long.parseLong(line.getOptionValue("cost", "0"));
    } catch (NumberFormatException e) {
      throw new UsageException("--cost is not a number");
    }
  }

  /**
   * Makes the version current before it retires the previous ones, so that the model always has a
   * current version.
   */
  private static void promote(ObjectPublisher publisher, ObjectKey key) throws OatlugException {
    String[] model = new String[1];
    publisher.change(
        key,
        existing -> {
          model[0] = existing.path("model").asText();
          return withState(existing, VersionState.CURRENT);
        });
    String current = nameOf(VersionState.CURRENT);
    for (String name : publisher.namesWhere(Kinds.VERSION, "model", model[0], current)) {
      if (!name.equals(key.name())) {
        ObjectKey previous = ObjectKey.valueOf(Kinds.VERSION, name);
        publisher.change(previous, existing -> withState(existing, VersionState.RETIRING));
      }
    }
  }

  private static ObjectNode withState(ObjectNode existing, VersionState state) {
    return existing.put(STATE, nameOf(state));
  }

  private static String nameOf(VersionState state) {
    return state.name().toLowerCase(Locale.ROOT);
  }
}
