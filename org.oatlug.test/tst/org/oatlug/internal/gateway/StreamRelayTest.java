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

/** Tests that a caller gets each event of a stream exactly once, wherever upstreams break off. */
class StreamRelayTest {
  private static final String SEED = "20261202";
  private static final int EVENTS = 20;

  private static String event(long number, boolean carriageReturns) {
    String end = carriageReturns ? "\r\n" : "\n";
    return "id: " + number + end + "data: piece " + number + end + end;
  }

  private static String events(long first, boolean carriageReturns) {
    StringBuilder text = new StringBuilder();
    for (long number = first; number < EVENTS; number++) {
      text.append(event(number, carriageReturns));
    }
    return text.toString();
  }

  /** Relays the text in parts of random lengths. */
  private static Buffer relayInParts(StreamRelay relay, String text, Random random) {
    Buffer output = Buffer.buffer();
    int position = 0;
    while (position < text.length()) {
      int length = Math.min(text.length() - position, 1 + random.nextInt(40));
      output.appendBuffer(
          relay.newEvents(Buffer.buffer(text.substring(position, position + length))));
      position += length;
    }
    return output;
  }

  @Property(seed = SEED)
  void testEachEventIsRelayedOnceWhereverUpstreamsBreakOff(
      @ForAll @Size(max = 5) List<@IntRange(min = 0, max = 600) Integer> breakOffPositions,
      @ForAll boolean carriageReturns,
      @ForAll boolean upstreamsRestart,
      @ForAll @IntRange(min = 0, max = 100_000) int randomSeed) {
    Random random = new Random(randomSeed);
    StreamRelay relay = StreamRelay.after(OptionalLong.empty(), BodyMemoryBudget.create());
    Buffer output = Buffer.buffer();
    for (int breakOffPosition : breakOffPositions) {
      String upstreamEvents = eventsOfNextUpstream(relay, carriageReturns, upstreamsRestart);
      output.appendBuffer(
          relayInParts(
              relay,
              upstreamEvents.substring(0, Math.min(breakOffPosition, upstreamEvents.length())),
              random));
      relay.resetForNextUpstream();
    }
    output.appendBuffer(
        relayInParts(
            relay, eventsOfNextUpstream(relay, carriageReturns, upstreamsRestart), random));
    assertEquals(output.toString(), events(0, carriageReturns));
    assertTrue(!relay.hasPartialEvent());
    assertEquals(relay.eventCount(), EVENTS);
  }

  /**
   * Returns what the next upstream sends: the remaining events, or all if it ignores the ID of the
   * last event.
   */
  private static String eventsOfNextUpstream(
      StreamRelay relay, boolean carriageReturns, boolean restarts) {
    long first = restarts ? 0 : relay.lastEventId().orElse(-1) + 1;
    return events(first, carriageReturns);
  }

  @Property(seed = SEED, tries = 50)
  void testPartialEventIsDetected(@ForAll @IntRange(min = 1, max = 400) int length) {
    StreamRelay relay = StreamRelay.after(OptionalLong.empty(), BodyMemoryBudget.create());
    String text = events(0, false).substring(0, length);
    relay.newEvents(Buffer.buffer(text));
    assertEquals(relay.hasPartialEvent(), !text.endsWith("\n\n"));
  }
}
