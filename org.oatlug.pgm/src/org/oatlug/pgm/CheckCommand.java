// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.pgm;

import java.nio.file.Path;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.oatlug.config.DeploymentFile;
import org.oatlug.errors.ConfigurationInvalidException;
import org.oatlug.errors.OatlugException;
import org.oatlug.errors.UsageException;

/** Validates a file offline: types, references and policies. Stateless. */
final class CheckCommand implements Command {

  @Override
  public String name() {
    return "check";
  }

  @Override
  public String arguments() {
    return "-f FILE";
  }

  @Override
  public String summary() {
    return "check a file offline: types, references, policies with line and column";
  }

  @Override
  public String example() {
    return "oatlug check -f deploy/blue-mahoe.json";
  }

  @Override
  public void addOptions(Options options) {
    options.addOption("f", "file", true, "the file");
  }

  @Override
  public ExitCode call(CommandLine line, List<String> arguments, CommandSession session)
      throws OatlugException {
    DeploymentFile file = readValid(Path.of(fileOf(line)));
    session.print(file.objects().size() + " objects are valid");
    return ExitCode.OK;
  }

  static String fileOf(CommandLine line) throws UsageException {
    String file = line.getOptionValue("file");
    if (file == null) {
      throw new UsageException("-f FILE is missing");
    }
    return file;
  }

  static DeploymentFile readValid(Path path) throws OatlugException {
    DeploymentFile file = DeploymentFile.read(path);
    List<String> problems = file.problems();
    if (!problems.isEmpty()) {
      throw new ConfigurationInvalidException(
          path.toString(), String.join(System.lineSeparator(), problems));
    }
    return file;
  }
}
