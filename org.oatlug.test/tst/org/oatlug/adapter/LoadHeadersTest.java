// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.adapter;

import static org.testng.Assert.assertEquals;

import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.read.ListAppender;
import java.util.Optional;
import java.util.OptionalDouble;
import org.oatlug.gateway.ResponseHead.Load;
import org.slf4j.LoggerFactory;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against load reports that are dropped because upstreams send a field that this version
 * does not know: all 6,301 reports of four numbers were dropped, each with a log line.
 */
public class LoadHeadersTest {
  private final LoadHeaders headers = LoadHeaders.create();

  @DataProvider
  Object[][] valid() {
    return new Object[][] {
      {"3,1,8", new Load(3, 1, 8, OptionalDouble.empty())},
      {"3, 1, 8, 250", new Load(3, 1, 8, OptionalDouble.of(2.5))},
      {"3,1,8,55,later,fields", new Load(3, 1, 8, OptionalDouble.of(0.55))}
    };
  }

  @Test(dataProvider = "valid")
  public void testFieldsAreDecoded(String text, Load expected) {
    assertEquals(headers.decode(text, () -> "upstream:1"), Optional.of(expected));
  }

  @DataProvider
  Object[][] malformed() {
    // A malformed slowdown is logged, too, but the counts before it are valid.
    Optional<Load> counts = Optional.of(new Load(3, 1, 8, OptionalDouble.empty()));
    return new Object[][] {
      {"3,1", Optional.empty()},
      {"a,b,c", Optional.empty()},
      {"-1,0,8", Optional.empty()},
      {"", Optional.empty()},
      {"3,1,8,x", counts},
      {"3,1,8,0", counts},
      {"3,1,8,1e-323", counts},
      {"3,1,8,NaN", counts}
    };
  }

  @Test(dataProvider = "malformed")
  public void testMalformedLoadIsLoggedOncePerUpstream(String text, Optional<Load> expected) {
    Logger logger = (Logger) LoggerFactory.getLogger(LoadHeaders.class);
    ListAppender<ILoggingEvent> appender = new ListAppender<>();
    appender.start();
    logger.addAppender(appender);
    LoadHeaders fresh = LoadHeaders.create();
    try {
      for (int response = 0; response < 100; response++) {
        String address = "upstream:" + response % 2;
        assertEquals(fresh.decode(text, () -> address), expected);
      }
    } finally {
      logger.detachAppender(appender);
    }
    assertEquals(appender.list.size(), 2, "log lines of two upstreams");
  }
}
