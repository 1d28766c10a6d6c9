// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import io.vertx.core.buffer.Buffer;
import java.util.OptionalLong;

/**
 * Joins the events that several upstreams send for one answer into one stream.
 *
 * <p>Invariant: the IDs of the forwarded events ascend, each at most once; an event that was
 * forwarded before is dropped. Used from one event loop.
 */
final class StreamRelay {
  private OptionalLong lastEventId;
  private long eventCount;
  private final BodyMemoryBudget budget;
  private EventSplitter splitter;

  private StreamRelay(OptionalLong lastEventId, BodyMemoryBudget budget) {
    this.lastEventId = lastEventId;
    this.budget = budget;
    this.splitter = EventSplitter.create(budget);
  }

  /**
   * Returns a relay for a caller that already has the events up to the given ID.
   *
   * @param budget limits the memory for partial events
   */
  static StreamRelay after(OptionalLong lastEventId, BodyMemoryBudget budget) {
    return new StreamRelay(lastEventId, budget);
  }

  /** Discards the partial event of an interrupted stream, before another upstream continues it. */
  void resetForNextUpstream() {
    splitter.release();
    splitter = EventSplitter.create(budget);
  }

  /** Returns the memory of a partial event when the response is over; may be called again. */
  void release() {
    splitter.release();
  }

  /** Returns whether an event was dropped because it is too long, so that the stream has a gap. */
  boolean hasExceededEvent() {
    return splitter.hasExceeded();
  }

  /** Returns the bytes of the events that are now complete and were not forwarded before. */
  Buffer newEvents(Buffer data) {
    Buffer newEvents = Buffer.buffer();
    for (EventSplitter.Event event : splitter.add(data)) {
      boolean duplicate =
          event.id().isPresent()
              && lastEventId.isPresent()
              && event.id().getAsLong() <= lastEventId.getAsLong();
      if (!duplicate) {
        newEvents.appendBuffer(event.bytes());
        eventCount++;
        lastEventId = event.id().isPresent() ? event.id() : lastEventId;
      }
    }
    return newEvents;
  }

  /** Returns whether the bytes received so far end inside an event. */
  boolean hasPartialEvent() {
    return splitter.hasPartialEvent();
  }

  /** Returns the ID of the last event that the caller has, empty if there is none. */
  OptionalLong lastEventId() {
    return lastEventId;
  }

  /** Returns the number of forwarded events. */
  long eventCount() {
    return eventCount;
  }
}
