// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.log;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.JsonEncoder;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.read.ListAppender;
import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.oatlug.internal.util.Json;
import org.oatlug.internal.util.LogKeys;
import org.slf4j.LoggerFactory;
import org.testng.annotations.Test;

/**
 * Verifies that log lines are JSON with the request id as a field, and that logging never blocks.
 */
public class JsonLinesTest {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  @Test
  public void testLinesGoToStandardOutputThroughQueueThatNeverBlocks() {
    LoggerContext context = new LoggerContext();
    new JsonLines().configure(context);
    Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
    AsyncAppender asyncAppender = (AsyncAppender) root.getAppender("queue");
    assertTrue(asyncAppender.isNeverBlock());
    assertTrue(asyncAppender.getQueueSize() > 0);
    ConsoleAppender<ILoggingEvent> console =
        (ConsoleAppender<ILoggingEvent>) asyncAppender.getAppender("console");
    assertEquals(console.getTarget(), "System.out");
    context.stop();
  }

  /** Attaches an appender to the logger that collects its lines. */
  private static ListAppender<ILoggingEvent> collectLines(Logger target) {
    ListAppender<ILoggingEvent> lines = new ListAppender<>();
    lines.start();
    target.addAppender(lines);
    return lines;
  }

  @Test
  public void testRequestIdIsFieldOfLine() throws IOException {
    Logger target = (Logger) LoggerFactory.getLogger(JsonLinesTest.class);
    ListAppender<ILoggingEvent> lines = collectLines(target);
    IOException cause = new IOException("the cause");
    logger.atWarning().with(LogKeys.REQUEST_ID, "a1").withCause(cause).log("sent=%d \"x\"", 2);
    target.detachAppender(lines);
    JsonEncoder encoder = new JsonEncoder();
    encoder.setContext(target.getLoggerContext());
    encoder.start();
    String text = new String(encoder.encode(lines.list.get(0)), StandardCharsets.UTF_8);
    JsonNode line = Json.STRICT.readTree(text);
    assertEquals(line.path("level").asText(), "WARN");
    assertEquals(line.path("message").asText(), "sent=2 \"x\"");
    assertEquals(line.path("kvpList").path(0).path("requestId").asText(), "a1");
    assertEquals(line.path("throwable").path("message").asText(), "the cause");
  }

  @Test
  public void testLevelBelowMinimumIsNotWritten() {
    Logger target = (Logger) LoggerFactory.getLogger(JsonLinesTest.class);
    ListAppender<ILoggingEvent> lines = collectLines(target);
    logger.atFinest().log("left out");
    logger.atInfo().log("written");
    target.detachAppender(lines);
    assertEquals(lines.list.size(), 1);
  }
}
