// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.pgm;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.oatlug.api.ObjectKey;
import org.oatlug.config.DeploymentFile;
import org.oatlug.config.Kinds;
import org.oatlug.errors.ConfigurationInvalidException;
import org.oatlug.errors.OatlugException;

/** Publishes all objects of a file, in the order of their kinds. Stateless. */
final class ApplyCommand implements Command {

  @Override
  public String name() {
    return "apply";
  }

  @Override
  public String arguments() {
    return "-f FILE [--wait]";
  }

  @Override
  public String summary() {
    return "publish the objects of a file";
  }

  @Override
  public String example() {
    return "oatlug apply -f deploy/blue-mahoe.json --platform 127.0.0.1:7000";
  }

  @Override
  public void addOptions(Options options) {
    options.addOption("f", "file", true, "the file");
  }

  @Override
  public ExitCode call(CommandLine line, List<String> arguments, CommandSession session)
      throws OatlugException {
    DeploymentFile file = CheckCommand.readValid(Path.of(CheckCommand.fileOf(line)));
    ObjectPublisher publisher = ObjectPublisher.of(line, session);
    for (String kind : Kinds.ALL) {
      for (Map.Entry<ObjectKey, JsonNode> entry : file.objects().entrySet()) {
        if (entry.getKey().kind().equals(kind)) {
          publishObject(publisher, entry.getKey(), entry.getValue());
        }
      }
    }
    return publisher.result();
  }

  private static void publishObject(ObjectPublisher publisher, ObjectKey key, JsonNode spec)
      throws OatlugException {
    if (!spec.isObject()) {
      throw new ConfigurationInvalidException(key.toString(), "is not an object");
    }
    publisher.publish(key, spec);
  }
}
