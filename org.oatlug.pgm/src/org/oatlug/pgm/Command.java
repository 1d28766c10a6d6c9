// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.pgm;

import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.oatlug.errors.OatlugException;

/** One command of the command line. Implementations keep no state between calls. */
interface Command {

  /** Returns the name by which it is called. */
  String name();

  /** Returns the arguments after the name, for the usage text. */
  String arguments();

  /** Returns one line that says what it does. */
  String summary();

  /** Returns an example call. */
  String example();

  /** Adds its own options. */
  default void addOptions(Options options) {}

  /**
   * Runs the command.
   *
   * @throws OatlugException for every failure that has a type
   */
  ExitCode call(CommandLine line, List<String> arguments, Session session) throws OatlugException;
}
