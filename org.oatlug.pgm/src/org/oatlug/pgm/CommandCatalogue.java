// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.pgm;

import java.util.List;
import java.util.Optional;

/** Registry of all commands, in the order of the help text. Immutable, thread-safe. */
final class CommandCatalogue {
  private static final List<Command> COMMANDS =
      List.of(
          new ApplyCommand(),
          new CheckCommand(),
          new GetCommand(),
          new VersionCommand(),
          new RolloutCommand(),
          new PolicyCommand(),
          new StatusCommand(),
          new ExplainCommand(),
          new LetRunCommand(),
          new BillsCommand());

  private CommandCatalogue() {}

  static List<Command> all() {
    return COMMANDS;
  }

  static Optional<Command> find(String name) {
    return COMMANDS.stream().filter(command -> command.name().equals(name)).findFirst();
  }
}
