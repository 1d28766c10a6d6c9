// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.log;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.JsonEncoder;
import ch.qos.logback.classic.spi.Configurator;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.Appender;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.spi.ContextAwareBase;
import org.slf4j.LoggerFactory;

/**
 * Configures the logging of a process: one JSON object per line, on standard output unless the
 * system property {@value #TARGET_PROPERTY} is {@code System.err}.
 *
 * <p>Invariants: a thread that logs never blocks on the output; lines that do not fit into the
 * queue are dropped. Configured in code, because parsing a configuration file at startup takes
 * longer than the rest of the logging setup. Thread-safe.
 */
public final class JsonLines extends ContextAwareBase implements Configurator {
  /** System property with the stream to write to. */
  static final String TARGET_PROPERTY = "oatlug.log.target";

  /** System property with the minimum level to write, {@code INFO} if it is not set. */
  private static final String LEVEL_PROPERTY = "oatlug.log.level";

  private static final String STANDARD_OUTPUT = "System.out";

  /**
   * Capacity of the queue in lines; holds several seconds of output at the maximum rate of lines.
   */
  private static final int QUEUE_CAPACITY = 1024;

  /**
   * Maximum time to flush the queue at the end of the process, in milliseconds. It is less than the
   * 400 ms of the grace period that remain after a planned stop has closed the open requests.
   */
  private static final int FLUSH_TIMEOUT_MILLIS = 200;

  @Override
  public ExecutionStatus configure(LoggerContext context) {
    Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
    root.setLevel(Level.toLevel(System.getProperty(LEVEL_PROPERTY), Level.INFO));
    root.addAppender(asyncQueue(console(context), context));
    return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY;
  }

  private static Appender<ILoggingEvent> console(LoggerContext context) {
    JsonEncoder encoder = new JsonEncoder();
    encoder.setContext(context);
    encoder.setWithSequenceNumber(false);
    encoder.setWithNanoseconds(false);
    encoder.setWithThreadName(false);
    encoder.setWithContext(false);
    encoder.setWithArguments(false);
    encoder.setWithMDC(false);
    encoder.start();
    ConsoleAppender<ILoggingEvent> console = new ConsoleAppender<>();
    console.setContext(context);
    console.setName("console");
    console.setTarget(System.getProperty(TARGET_PROPERTY, STANDARD_OUTPUT));
    console.setEncoder(encoder);
    console.start();
    return console;
  }

  private static Appender<ILoggingEvent> asyncQueue(
      Appender<ILoggingEvent> console, LoggerContext context) {
    AsyncAppender queue = new AsyncAppender();
    queue.setContext(context);
    queue.setName("queue");
    queue.setNeverBlock(true);
    queue.setQueueSize(QUEUE_CAPACITY);
    queue.setDiscardingThreshold(0);
    queue.setMaxFlushTime(FLUSH_TIMEOUT_MILLIS);
    queue.addAppender(console);
    queue.start();
    return queue;
  }

  /** Flushes the queue and stops logging; to be called immediately before the process ends. */
  public static void close() {
    if (LoggerFactory.getILoggerFactory() instanceof LoggerContext context) {
      context.stop();
    }
  }
}
