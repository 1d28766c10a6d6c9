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
 * Reloads the settings file on SIGHUP or after a change of the file.
 *
 * <p>Invariant: invalid settings are ignored as a whole. Runs on its own thread, from which it
 * calls the target.
 */
final class SettingsWatcher {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** The polling interval; short, so that a change without a signal takes effect in seconds. */
  private static final long INTERVAL_MILLIS = 1000;

  private final Path file;
  private final Target target;
  private FileTime lastModified;

  private SettingsWatcher(Path file, Target target) {
    this.file = file;
    this.target = target;
    this.lastModified = readModificationTime();
  }

  /** Applies reloaded settings. */
  @FunctionalInterface
  interface Target {
    void applySettings(GatewaySettings settings);
  }

  /** Starts to poll the file and to handle the signal. */
  static void start(Path file, Target target) {
    SettingsWatcher watcher = new SettingsWatcher(file, target);
    ScheduledExecutorService executor =
        Executors.newSingleThreadScheduledExecutor(
            task -> {
              Thread thread = new Thread(task, "settings");
              thread.setDaemon(true);
              return thread;
            });
    Signal.handle(new Signal("HUP"), signal -> executor.execute(watcher::reload));
    executor.scheduleWithFixedDelay(
        watcher::reloadIfChanged, INTERVAL_MILLIS, INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void reloadIfChanged() {
    if (!readModificationTime().equals(lastModified)) {
      reload();
    }
  }

  private void reload() {
    lastModified = readModificationTime();
    try {
      target.applySettings(SettingsFile.readGateway(file));
    } catch (SettingsInvalidException e) {
      logger.atWarning().log("changed settings are rejected: %s", e.problems());
    }
  }

  private FileTime readModificationTime() {
    try {
      return Files.getLastModifiedTime(file);
    } catch (IOException e) {
      logger.atWarning().log(
          "cannot read the modification time of the settings file: %s", e.getMessage());
      return FileTime.fromMillis(0);
    }
  }
}
