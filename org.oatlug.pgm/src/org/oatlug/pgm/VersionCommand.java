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

/** Adds a version or moves it on in its life. Stateless. */
final class VersionCommand implements Command {
  private static final String STATE = "state";
  private static final int WITH_MODEL = 3;

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
  public ExitCode call(CommandLine line, List<String> arguments, Session session)
      throws OatlugException {
    if (arguments.size() < 2) {
      throw new UsageException(arguments());
    }
    Publishing publishing = Publishing.of(line, session);
    ObjectKey key = ObjectKey.valueOf(Kinds.VERSION, arguments.get(1));
    switch (arguments.get(0)) {
      case "add" -> add(publishing, key, arguments, line);
      case "promote" -> promote(publishing, key);
      case "retire" -> publishing.change(key, standing -> with(standing, VersionState.RETIRING));
      case "withdraw" -> publishing.change(key, standing -> with(standing, VersionState.WITHDRAWN));
      default -> throw new UsageException(arguments());
    }
    return publishing.result();
  }

  private void add(Publishing publishing, ObjectKey key, List<String> arguments, CommandLine line)
      throws OatlugException {
    if (arguments.size() < WITH_MODEL) {
      throw new UsageException(arguments());
    }
    ObjectNode content = Json.STRICT.createObjectNode();
    content.put("model", arguments.get(2));
    content.put(STATE, text(VersionState.CANDIDATE));
    content.put("costPerThousandTokens", costOf(line));
    publishing.publish(key, content);
  }

  private static long costOf(CommandLine line) throws UsageException {
    try {
      return Long.parseLong(line.getOptionValue("cost", "0"));
    } catch (NumberFormatException e) {
      throw new UsageException("--cost is no number");
    }
  }

  /** Makes the version current first, so that there is always one, and retires the old ones. */
  private static void promote(Publishing publishing, ObjectKey key) throws OatlugException {
    String[] model = new String[1];
    publishing.change(
        key,
        standing -> {
          model[0] = standing.path("model").asText();
          return with(standing, VersionState.CURRENT);
        });
    String current = text(VersionState.CURRENT);
    for (String name : publishing.namesWhere(Kinds.VERSION, "model", model[0], current)) {
      if (!name.equals(key.name())) {
        ObjectKey old = ObjectKey.valueOf(Kinds.VERSION, name);
        publishing.change(old, standing -> with(standing, VersionState.RETIRING));
      }
    }
  }

  private static ObjectNode with(ObjectNode standing, VersionState state) {
    return standing.put(STATE, text(state));
  }

  private static String text(VersionState state) {
    return state.name().toLowerCase(Locale.ROOT);
  }
}
