// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.pgm;

import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.oatlug.errors.OatlugException;

/** A command of the command line. Implementations keep no state between calls. */
interface Command {

  /** Returns the name by which the command is called. */
  String name();

  /** Returns the arguments after the name, for the usage text. */
  String arguments();

  /** Returns a one-line description of the command. */
  String summary();

  /** Returns an example call. */
  String example();

  /** Adds the options that only this command has. */
  default void addOptions(Options options) {}

  /**
   * Runs the command.
   *
   * @throws OatlugException if the command fails; the type of the exception determines the exit
   *     code
   */
  ExitCode call(CommandLine line, List<String> arguments, CommandSession session)
      throws OatlugException;
}
