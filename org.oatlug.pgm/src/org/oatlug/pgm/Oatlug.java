// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.pgm;

import java.io.PrintStream;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.oatlug.config.Settings;
import org.oatlug.errors.ConfigurationInvalidException;
import org.oatlug.errors.ConflictException;
import org.oatlug.errors.OatlugException;
import org.oatlug.errors.PlatformBusyException;
import org.oatlug.errors.PlatformUnavailableException;
import org.oatlug.errors.UsageException;

/** Entry point of the operators' command line. Stateless. */
public final class Oatlug {
  private static final String PLATFORM_VARIABLE = "OATLUG_PLATFORM";
  private static final String INSTANCE_VARIABLE = "OATLUG_INSTANCE";
  private static final String HELP = "help";

  private Oatlug() {}

  /** Runs a command and ends the process with its exit code. */
  public static void main(String[] arguments) {
    System.exit(run(arguments, System.out, System.err).number());
  }

  /** Runs a command and returns its exit code. */
  public static ExitCode run(String[] arguments, PrintStream out, PrintStream err) {
    if (arguments.length == 0 || arguments[0].equals("--" + HELP)) {
      out.println(usage());
      return arguments.length == 0 ? ExitCode.USAGE : ExitCode.OK;
    }
    Optional<Command> command = CommandCatalogue.find(arguments[0]);
    if (command.isEmpty()) {
      err.println("unknown command " + arguments[0] + System.lineSeparator() + usage());
      return ExitCode.USAGE;
    }
    return call(command.get(), Arrays.copyOfRange(arguments, 1, arguments.length), out, err);
  }

  private static ExitCode call(
      Command command, String[] arguments, PrintStream out, PrintStream err) {
    try {
      CommandLine line = new DefaultParser().parse(optionsOf(command), arguments);
      if (line.hasOption(HELP)) {
        out.println(usageOf(command));
        return ExitCode.OK;
      }
      try (CommandSession session = sessionOf(line, out)) {
        return command.call(line, line.getArgList(), session);
      }
    } catch (ParseException e) {
      err.println(e.getMessage() + System.lineSeparator() + usageOf(command));
      return ExitCode.USAGE;
    } catch (OatlugException e) {
      err.println(e.getMessage());
      return exitCodeOf(e);
    }
  }

  private static ExitCode exitCodeOf(OatlugException failure) {
    if (failure instanceof UsageException) {
      return ExitCode.USAGE;
    }
    if (failure instanceof ConflictException) {
      return ExitCode.CONFLICT;
    }
    if (failure instanceof ConfigurationInvalidException) {
      return ExitCode.INVALID;
    }
    boolean unavailable = failure instanceof PlatformUnavailableException;
    if (unavailable || failure instanceof PlatformBusyException) {
      return ExitCode.PLATFORM_UNAVAILABLE;
    }
    return ExitCode.FAILED;
  }

  private static Options optionsOf(Command command) {
    Options options = new Options();
    options.addOption(null, "platform", true, "HOST:PORT of the platform's object API");
    options.addOption(null, "instance", true, "HOST:PORT of an instance's operator port");
    options.addOption(null, "output", true, "text or json");
    options.addOption(null, ObjectPublisher.WAIT, false, "wait until in force everywhere");
    options.addOption(null, HELP, false, "show the usage");
    command.addOptions(options);
    return options;
  }

  private static CommandSession sessionOf(CommandLine line, PrintStream out) throws UsageException {
    String output = line.getOptionValue("output", "text");
    if (!List.of("text", "json").contains(output)) {
      throw new UsageException("--output must be text or json");
    }
    return CommandSession.open(
        address(line, "platform", PLATFORM_VARIABLE),
        address(line, "instance", INSTANCE_VARIABLE),
        output.equals("json"),
        out);
  }

  private static Optional<Settings.Address> address(
      CommandLine line, String option, String variable) throws UsageException {
    String text = line.getOptionValue(option, System.getenv(variable));
    if (text == null) {
      return Optional.empty();
    }
    int colon = text.lastIndexOf(':');
    try {
      int port = Integer.parseInt(text.substring(colon + 1));
      return Optional.of(new Settings.Address(text.substring(0, Math.max(0, colon)), port));
    } catch (NumberFormatException e) {
      throw new UsageException("--" + option + " is not a HOST:PORT");
    }
  }

  private static String usage() {
    StringBuilder text = new StringBuilder("usage: oatlug COMMAND [OPTIONS]\n\n");
    for (Command command : CommandCatalogue.all()) {
      text.append(String.format("  %-8s %s%n", command.name(), command.summary()));
    }
    text.append("\nEach command has --help with an example. Options of all commands:\n");
    text.append("  --platform HOST:PORT   or the variable OATLUG_PLATFORM\n");
    text.append("  --instance HOST:PORT   or the variable OATLUG_INSTANCE\n");
    text.append("  --output text|json\n\n");
    text.append("exit codes:");
    for (ExitCode code : ExitCode.values()) {
      text.append(' ').append(code.number()).append(' ');
      text.append(code.name().toLowerCase(java.util.Locale.ROOT).replace('_', ' '));
      text.append(',');
    }
    return text.substring(0, text.length() - 1);
  }

  private static String usageOf(Command command) {
    return "usage: oatlug "
        + command.name()
        + " "
        + command.arguments()
        + "\n\n"
        + command.summary()
        + "\n\nexample: "
        + command.example();
  }
}
