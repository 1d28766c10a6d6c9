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
 * Sets up the logs of a process: one JSON object a line, on standard output unless the system
 * property {@value #TARGET_PROPERTY} says {@code System.err}.
 *
 * <p>Invariants: a thread that logs never waits for the output; what a full queue cannot take is
 * left out. Set up in code, because reading a set-up file takes a starting instance longer than all
 * other parts of logging. Thread-safe.
 */
public final class JsonLines extends ContextAwareBase implements Configurator {
  /** Names the stream that lines go to. */
  static final String TARGET_PROPERTY = "oatlug.log.target";

  /** Names the lowest level that is written, {@code INFO} if it is not set. */
  private static final String LEVEL_PROPERTY = "oatlug.log.level";

  private static final String STANDARD_OUTPUT = "System.out";

  /** Lines that wait to be written: those of some seconds at the bound of lines a second. */
  private static final int QUEUED_LINES = 1024;

  /**
   * How long the end of a process waits for the queue to empty, in milliseconds: less than the 400
   * that a planned stop keeps of its grace after it has cut what is open.
   */
  private static final int FLUSH_MILLIS = 200;

  @Override
  public ExecutionStatus configure(LoggerContext context) {
    Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
    root.setLevel(Level.toLevel(System.getProperty(LEVEL_PROPERTY), Level.INFO));
    root.addAppender(queueBefore(console(context), context));
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

  private static Appender<ILoggingEvent> queueBefore(
      Appender<ILoggingEvent> console, LoggerContext context) {
    AsyncAppender queue = new AsyncAppender();
    queue.setContext(context);
    queue.setName("queue");
    queue.setNeverBlock(true);
    queue.setQueueSize(QUEUED_LINES);
    queue.setDiscardingThreshold(0);
    queue.setMaxFlushTime(FLUSH_MILLIS);
    queue.addAppender(console);
    queue.start();
    return queue;
  }

  /** Writes what waits and ends the logs of the process; for the moment before it ends. */
  public static void close() {
    if (LoggerFactory.getILoggerFactory() instanceof LoggerContext context) {
      context.stop();
    }
  }
}
