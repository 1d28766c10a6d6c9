// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.entry;

import io.vertx.core.VerticleBase;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.file.FileSystemOptions;
import io.vertx.core.transport.Transport;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.ServiceLoader;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.oatlug.config.Settings;
import org.oatlug.config.SettingsFile;
import org.oatlug.errors.SettingsInvalidException;
import org.oatlug.gateway.DeploymentAdapter;
import org.oatlug.gateway.GatewaySettings;
import org.oatlug.internal.log.JsonLines;

/**
 * The daemon: {@code oatlugd [--gateway] --settings FILE [--check]}.
 *
 * <p>Exit codes: 0 after a graceful shutdown or a successful check, 1 if it cannot start or shut
 * down gracefully, 2 for invalid arguments or settings.
 */
public final class Oatlugd {
  private static final int FAILED = 1;
  private static final int INVALID_USAGE = 2;
  private static final long START_TIMEOUT_SECONDS = 30;
  private static final long DRAIN_TIMEOUT_MINUTES = 15;
  private static final String USAGE =
      "usage: oatlugd [--gateway] (--settings FILE | --settings-variable NAME) [--check]";

  private Oatlugd() {}

  /** Runs the daemon. */
  public static void main(String[] arguments) {
    try {
      CommandLine commandLine = new DefaultParser().parse(options(), arguments);
      if (commandLine.hasOption("gateway")) {
        runGateway(commandLine);
        return;
      }
      if (commandLine.hasOption("help") || !commandLine.hasOption("settings")) {
        System.err.println(USAGE);
        System.exit(commandLine.hasOption("help") ? 0 : INVALID_USAGE);
      }
      Settings settings = SettingsFile.read(Path.of(commandLine.getOptionValue("settings")));
      if (commandLine.hasOption("check")) {
        System.out.println("settings are good");
        return;
      }
      run(new EntryInstance(settings), Transport.NIO);
    } catch (ParseException e) {
      System.err.println(e.getMessage() + System.lineSeparator() + USAGE);
      System.exit(INVALID_USAGE);
    } catch (SettingsInvalidException e) {
      e.problems().forEach(System.err::println);
      System.exit(INVALID_USAGE);
    }
  }

  private static void runGateway(CommandLine commandLine) throws SettingsInvalidException {
    Path file = settingsPath(commandLine);
    if (commandLine.hasOption("check")) {
      SettingsFile.checkGateway(file);
      System.out.println("settings are good");
      return;
    }
    Optional<PreboundSocket> socket = PreboundSocket.open(file);
    GatewaySettings settings = SettingsFile.readGateway(file);
    DeploymentAdapter adapter =
        ServiceLoader.load(DeploymentAdapter.class)
            .findFirst()
            .orElseThrow(() -> new SettingsInvalidException(List.of("no adapter is installed")));
    GatewayInstance instance = new GatewayInstance(settings, adapter);
    SettingsWatcher.start(file, instance);
    run(
        instance,
        socket
            .map(bound -> bound.transport(instance.acceptGate(), instance.acceptWindow()))
            .orElse(Transport.NIO));
  }

  /** Returns the path of the settings file, from the option or an environment variable. */
  private static Path settingsPath(CommandLine commandLine) throws SettingsInvalidException {
    if (commandLine.hasOption("settings")) {
      return Path.of(commandLine.getOptionValue("settings"));
    }
    String variable = commandLine.getOptionValue("settings-variable", "");
    String path = System.getenv(variable);
    if (path == null) {
      throw new SettingsInvalidException(List.of("the variable '" + variable + "' is not set"));
    }
    return Path.of(path);
  }

  private static Options options() {
    return new Options()
        .addOption(null, "settings", true, "the settings file")
        .addOption(null, "settings-variable", true, "the variable that names the settings file")
        .addOption(null, "gateway", false, "serve routed services through the installed adapter")
        .addOption(null, "check", false, "check the settings and stop")
        .addOption(null, "help", false, "show the usage");
  }

  private static <T extends VerticleBase & Drainable> void run(T instance, Transport transport) {
    FileSystemOptions files =
        new FileSystemOptions().setClassPathResolvingEnabled(false).setFileCachingEnabled(false);
    VertxOptions options = new VertxOptions().setEventLoopPoolSize(1).setFileSystemOptions(files);
    Vertx vertx = Vertx.builder().with(options).withTransport(transport).build();
    try {
      vertx
          .deployVerticle(instance)
          .toCompletionStage()
          .toCompletableFuture()
          .get(START_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    } catch (ExecutionException | TimeoutException | InterruptedException e) {
      System.err.println("cannot start: " + e.getMessage());
      Runtime.getRuntime().halt(FAILED);
    }
    Runtime.getRuntime().addShutdownHook(new Thread(() -> drain(instance), "drain"));
  }

  private static void drain(Drainable instance) {
    try {
      instance
          .drain()
          .toCompletionStage()
          .toCompletableFuture()
          .get(DRAIN_TIMEOUT_MINUTES, TimeUnit.MINUTES);
      JsonLines.close();
      Runtime.getRuntime().halt(0);
    } catch (ExecutionException | TimeoutException | InterruptedException e) {
      Runtime.getRuntime().halt(FAILED);
    }
  }
}
