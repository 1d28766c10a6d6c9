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
 * empty; the watch then restarted every half second and no change was received any more. The same
 * happened with a nesting or a number beyond the limits of the parser, and instances that started
 * beside such an entry never became ready.
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
      {("[".repeat(20_000) + "]".repeat(20_000)).getBytes()},
      {("{\"a\": [\"]\\\"}\", ".repeat(150_000) + "1" + "]}".repeat(150_000)).getBytes()},
      {("{\"slots\": " + "9".repeat(25_000) + "}").getBytes()},
      {("-0." + "9".repeat(900_000) + "e9").getBytes()},
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

  /** Guards against a list that counts as empty because its body is not valid JSON. */
  @Test
  public void testInvalidBodyFailsTheCall() {
    for (String invalid : List.of("{\"items\": [", "[".repeat(30_000), "<html>")) {
      CompletionException failure =
          expectThrows(CompletionException.class, () -> bodyOf(200, Buffer.buffer(invalid)));
      assertEquals(failure.getCause().getClass(), PlatformUnavailableException.class);
    }
    assertEquals(bodyOf(404, Buffer.buffer("<html>")).size(), 0);
    assertEquals(bodyOf(200, Buffer.buffer()).size(), 0);
  }

  private static JsonNode bodyOf(int status, Buffer body) {
    return PlatformCalls.parseBody("list", response(status, body, body.length()))
        .subscribeAsCompletionStage()
        .join();
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
    HttpResponse<Buffer> response = response(200, body, declaredLength);
    return PlatformCalls.call("list", Set.of(200), () -> Future.succeededFuture(response))
        .subscribeAsCompletionStage()
        .join();
  }

  private static HttpResponse<Buffer> response(int status, Buffer body, int declaredLength) {
    return new HttpResponseImpl<>(
        HttpVersion.HTTP_1_1,
        status,
        "",
        HttpHeaders.headers().add("Content-Length", Integer.toString(declaredLength)),
        HttpHeaders.headers(),
        List.of(),
        body,
        List.of());
  }
}
