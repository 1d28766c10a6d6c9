// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.expectThrows;

import com.fasterxml.jackson.databind.JsonNode;
import io.vertx.core.buffer.Buffer;
import java.io.IOException;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Shows that what another writer put into one object does not hide the others of the answer.
 *
 * <p>Symptom, found by reading: with bytes that are no text in one entry the whole list counted as
 * empty and the watch began anew each half second, so that no change was learned any more.
 */
public class PlatformCallsTest {
  private static final byte[] BEFORE = "{\"items\": [{\"spec\": ".getBytes();
  private static final byte[] AFTER = "}, {\"spec\": {\"zone\": \"hall-a\"}}]}".getBytes();

  @DataProvider
  Object[][] foreign() {
    return new Object[][] {
      {new byte[] {'"', (byte) 0xFF, (byte) 0xC0, (byte) 0x80, '"'}},
      {new byte[] {'"', 0, 1, '\n', '\t', 0x1F, '"'}},
      {"\"\\uD800\\u0000\"".getBytes()},
      {("[".repeat(5000) + "]".repeat(5000)).getBytes()},
      {"9".repeat(10_000).getBytes()},
      {("1." + "0".repeat(10_000) + "1e99999").getBytes()},
      {("\"" + "x".repeat(1_000_000) + "\"").getBytes()},
    };
  }

  @Test(dataProvider = "foreign")
  public void testOtherObjectsOfTheAnswerAreRead(byte[] foreign) throws IOException {
    Buffer body = Buffer.buffer(BEFORE).appendBytes(foreign).appendBytes(AFTER);
    JsonNode items = PlatformCalls.parse(body).path("items");
    assertEquals(items.size(), 2);
    assertEquals(items.get(1).path("spec").path("zone").asText(), "hall-a");
  }

  @Test
  public void testWhatIsNoJsonIsRefused() {
    expectThrows(IOException.class, () -> PlatformCalls.parse(Buffer.buffer("{\"items\": [")));
  }
}
