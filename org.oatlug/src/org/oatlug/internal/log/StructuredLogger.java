// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.log;

import com.google.common.flogger.LogContext;
import com.google.common.flogger.backend.BaseMessageFormatter;
import com.google.common.flogger.backend.LogData;
import com.google.common.flogger.backend.LoggerBackend;
import com.google.common.flogger.backend.Metadata;
import com.google.common.flogger.backend.system.BackendFactory;
import java.util.logging.Level;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.spi.LoggingEventBuilder;

/**
 * Passes Flogger's log statements to SLF4J, with their metadata as key-value fields.
 *
 * <p>The SLF4J binding of Flogger appends metadata to the text of the message; here the id of a
 * request stays a separate field. Immutable, thread-safe.
 */
final class StructuredLogger extends LoggerBackend {
  private final Logger target;

  private StructuredLogger(Logger target) {
    this.target = target;
  }

  /** Creates a {@code StructuredLogger} per class that logs; loaded as a service of the jar. */
  public static final class Factory extends BackendFactory {
    @Override
    public LoggerBackend create(String className) {
      return new StructuredLogger(LoggerFactory.getLogger(className.replace('$', '.')));
    }
  }

  @Override
  public String getLoggerName() {
    return target.getName();
  }

  @Override
  public boolean isLoggable(Level level) {
    return target.isEnabledForLevel(levelOf(level));
  }

  @Override
  public void log(LogData data) {
    String message =
        BaseMessageFormatter.appendFormattedMessage(data, new StringBuilder()).toString();
    write(target.atLevel(levelOf(data.getLevel())), data.getMetadata(), message);
  }

  @Override
  public void handleError(RuntimeException error, LogData badData) {
    target.error("failed to format a log statement", error);
  }

  private static void write(LoggingEventBuilder event, Metadata metadata, String message) {
    LoggingEventBuilder builder = event;
    for (int index = 0; index < metadata.size(); index++) {
      if (metadata.getKey(index).equals(LogContext.Key.LOG_CAUSE)) {
        builder = builder.setCause((Throwable) metadata.getValue(index));
      } else {
        builder = builder.addKeyValue(metadata.getKey(index).getLabel(), metadata.getValue(index));
      }
    }
    builder.log(message);
  }

  private static org.slf4j.event.Level levelOf(Level level) {
    if (level.intValue() >= Level.SEVERE.intValue()) {
      return org.slf4j.event.Level.ERROR;
    }
    if (level.intValue() >= Level.WARNING.intValue()) {
      return org.slf4j.event.Level.WARN;
    }
    if (level.intValue() >= Level.INFO.intValue()) {
      return org.slf4j.event.Level.INFO;
    }
    boolean isFine = level.intValue() >= Level.FINE.intValue();
    return isFine ? org.slf4j.event.Level.DEBUG : org.slf4j.event.Level.TRACE;
  }
}
