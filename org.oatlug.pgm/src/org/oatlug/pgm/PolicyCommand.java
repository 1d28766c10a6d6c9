// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.pgm;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.oatlug.api.ObjectKey;
import org.oatlug.config.Kinds;
import org.oatlug.errors.OatlugException;
import org.oatlug.errors.UsageException;
import org.oatlug.internal.util.Json;

/** Publishes a policy program. Stateless. */
final class PolicyCommand implements Command {
  private static final int MINIMUM_ARGUMENTS = 3;

  @Override
  public String name() {
    return "policy";
  }

  @Override
  public String arguments() {
    return "publish NAME PROGRAM-FILE [--wait]";
  }

  @Override
  public String summary() {
    return "publish a policy program; an invalid one is rejected and the previous one stays";
  }

  @Override
  public String example() {
    return "oatlug policy publish desk desk.cel --platform 127.0.0.1:7000";
  }

  @Override
  public void addOptions(Options options) {}

  @Override
  public ExitCode call(CommandLine line, List<String> arguments, CommandSession session)
      throws OatlugException {
    if (arguments.size() < MINIMUM_ARGUMENTS || !arguments.get(0).equals("publish")) {
      throw new UsageException(arguments());
    }
    ObjectNode content = Json.STRICT.createObjectNode();
    content.put("program", readProgram(Path.of(arguments.get(2))));
    ObjectPublisher publisher = ObjectPublisher.of(line, session);
    publisher.publish(ObjectKey.valueOf(Kinds.POLICY, arguments.get(1)), content);
    return publisher.result();
  }

  private static String readProgram(Path file) throws UsageException {
    try {
      return Files.readString(file);
    } catch (IOException e) {
      throw new UsageException(file + " cannot be read");
    }
  }
}
