// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.adapter;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;

import io.vertx.core.MultiMap;
import java.util.List;
import org.testng.annotations.Test;

/** Guards against headers that reach an upstream although only the gateway may set them. */
public class WireHeadersTest {
  private static MultiMap received() {
    return MultiMap.caseInsensitiveMultiMap()
        .add("Accept", "a")
        .add("accept", "b")
        .add("TENANT", "other")
        .add("Kv-From", "x")
        .add("Keep-Alive", "5")
        .add("Connection", "close, X-Hop")
        .add("x-hop", "1")
        .add("X-Hop", "2");
  }

  @Test
  public void testReservedAndHopByHopHeadersAreNotForwarded() {
    MultiMap forwarded = WireHeaders.forwarded(received());
    assertEquals(forwarded.getAll("accept"), List.of("a", "b"));
    for (String dropped : List.of("tenant", "kv-from", "keep-alive", "connection", "x-hop")) {
      assertFalse(forwarded.contains(dropped), dropped);
    }
  }

  @Test
  public void testOnlyHopByHopHeadersAreDropped() {
    MultiMap kept = WireHeaders.withoutHopByHop(received());
    assertEquals(kept.getAll("accept"), List.of("a", "b"));
    assertEquals(kept.get("Tenant"), "other");
    assertEquals(kept.get("kv-from"), "x");
    for (String dropped : List.of("keep-alive", "connection", "x-hop")) {
      assertFalse(kept.contains(dropped), dropped);
    }
  }
}
