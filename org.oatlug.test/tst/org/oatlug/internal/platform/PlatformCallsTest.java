// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.expectThrows;

import com.fasterxml.jackson.databind.JsonNode;
import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpVersion;
import io.vertx.ext.web.client.HttpResponse;
import io.vertx.ext.web.client.impl.HttpResponseImpl;
import java.io.IOException;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletionException;
import org.oatlug.errors.PlatformUnavailableException;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests that what another program wrote into one object, be it malformed or merely unusual, does
 * not hide the other objects of the response.
 *
 * <p>Guards against a failure in which malformed UTF-8 in one entry made the whole list count as
 * empty; the watch then restarted every half second and no change was received any more.
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
  public void testOtherObjectsOfResponseAreParsed(byte[] foreign) throws IOException {
    Buffer body = Buffer.buffer(BEFORE).appendBytes(foreign).appendBytes(AFTER);
    JsonNode items = PlatformCalls.parse(body).path("items");
    assertEquals(items.size(), 2);
    assertEquals(items.get(1).path("spec").path("zone").asText(), "hall-a");
  }

  @Test
  public void testInvalidJsonIsRejected() {
    expectThrows(IOException.class, () -> PlatformCalls.parse(Buffer.buffer("{\"items\": [")));
  }

  /** Guards against a list that lacks objects because an error dropped a part of its body. */
  @Test
  public void testBodyThatLacksPartFailsTheCall() {
    Buffer body = Buffer.buffer("{\"items\": []}");
    assertEquals(call(body, body.length()).body(), body);
    CompletionException failure =
        expectThrows(CompletionException.class, () -> call(body, body.length() + 100));
    assertEquals(failure.getCause().getClass(), PlatformUnavailableException.class);
  }

  private static HttpResponse<Buffer> call(Buffer body, int declaredLength) {
    HttpResponse<Buffer> response =
        new HttpResponseImpl<>(
            HttpVersion.HTTP_1_1,
            200,
            "OK",
            HttpHeaders.headers().add("Content-Length", Integer.toString(declaredLength)),
            HttpHeaders.headers(),
            List.of(),
            body,
            List.of());
    return PlatformCalls.call("list", Set.of(200), () -> Future.succeededFuture(response))
        .subscribeAsCompletionStage()
        .join();
  }
}
