// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.vertx.core.buffer.Buffer;
import java.util.List;
import java.util.OptionalLong;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/** Shows that a caller gets each event of a stream exactly once, however upstreams break off. */
class StreamRelayTest {
  private static final String SEED = "20261202";
  private static final int EVENTS = 20;

  private static String event(long number, boolean carriage) {
    String end = carriage ? "\r\n" : "\n";
    return "id: " + number + end + "data: piece " + number + end + end;
  }

  private static String events(long first, boolean carriage) {
    StringBuilder text = new StringBuilder();
    for (long number = first; number < EVENTS; number++) {
      text.append(event(number, carriage));
    }
    return text.toString();
  }

  /** Hands the text on in pieces of chance lengths. */
  private static Buffer relayInPieces(StreamRelay relay, String text, Random random) {
    Buffer out = Buffer.buffer();
    int at = 0;
    while (at < text.length()) {
      int length = Math.min(text.length() - at, 1 + random.nextInt(40));
      out.appendBuffer(relay.take(Buffer.buffer(text.substring(at, at + length))));
      at += length;
    }
    return out;
  }

  @Property(seed = SEED)
  void testAnyCutsAndPiecesGiveEachEventOnce(
      @ForAll @Size(max = 5) List<@IntRange(min = 0, max = 600) Integer> cuts,
      @ForAll boolean carriage,
      @ForAll boolean upstreamsStartAnew,
      @ForAll @IntRange(min = 0, max = 100_000) int chance) {
    Random random = new Random(chance);
    StreamRelay relay = StreamRelay.after(OptionalLong.empty());
    Buffer out = Buffer.buffer();
    for (int cut : cuts) {
      String run = run(relay, carriage, upstreamsStartAnew);
      out.appendBuffer(relayInPieces(relay, run.substring(0, Math.min(cut, run.length())), random));
      relay.nextUpstream();
    }
    out.appendBuffer(relayInPieces(relay, run(relay, carriage, upstreamsStartAnew), random));
    assertEquals(out.toString(), events(0, carriage));
    assertTrue(!relay.endsInsideEvent());
    assertEquals(relay.events(), EVENTS);
  }

  /** Returns what the next upstream sends: what follows, or everything if it ignores the number. */
  private static String run(StreamRelay relay, boolean carriage, boolean anew) {
    long first = anew ? 0 : relay.last().orElse(-1) + 1;
    return events(first, carriage);
  }

  @Property(seed = SEED, tries = 50)
  void testEndInsideEventIsSeen(@ForAll @IntRange(min = 1, max = 400) int length) {
    StreamRelay relay = StreamRelay.after(OptionalLong.empty());
    String text = events(0, false).substring(0, length);
    relay.take(Buffer.buffer(text));
    assertEquals(relay.endsInsideEvent(), !text.endsWith("\n\n"));
  }
}
