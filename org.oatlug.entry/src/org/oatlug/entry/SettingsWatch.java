// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.entry;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.oatlug.config.SettingsFile;
import org.oatlug.errors.SettingsInvalidException;
import org.oatlug.gateway.GatewaySettings;
import sun.misc.Signal;

/**
 * Reads the settings file again when a signal says so, or when the file has changed.
 *
 * <p>Invariant: settings that are not valid change nothing. Runs on a thread of its own; the target
 * is called from it.
 */
final class SettingsWatch {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** How often the file is looked at: a change without a signal is in force within seconds. */
  private static final long INTERVAL_MILLIS = 1000;

  private final Path file;
  private final Target target;
  private FileTime seen;

  private SettingsWatch(Path file, Target target) {
    this.file = file;
    this.target = target;
    this.seen = changeTime();
  }

  /** Takes over settings that were read anew. */
  @FunctionalInterface
  interface Target {
    void reloaded(GatewaySettings settings);
  }

  /** Starts to watch the file and to listen for the signal. */
  static void start(Path file, Target target) {
    SettingsWatch watch = new SettingsWatch(file, target);
    ScheduledExecutorService thread =
        Executors.newSingleThreadScheduledExecutor(
            task -> {
              Thread made = new Thread(task, "settings");
              made.setDaemon(true);
              return made;
            });
    Signal.handle(new Signal("HUP"), signal -> thread.execute(watch::read));
    thread.scheduleWithFixedDelay(
        watch::readIfChanged, INTERVAL_MILLIS, INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void readIfChanged() {
    if (!changeTime().equals(seen)) {
      read();
    }
  }

  private void read() {
    seen = changeTime();
    try {
      target.reloaded(SettingsFile.readGateway(file));
    } catch (SettingsInvalidException e) {
      logger.atWarning().log("changed settings are not taken: %s", e.problems());
    }
  }

  private FileTime changeTime() {
    try {
      return Files.getLastModifiedTime(file);
    } catch (IOException e) {
      logger.atWarning().log("the settings file cannot be looked at: %s", e.getMessage());
      return FileTime.fromMillis(0);
    }
  }
}
