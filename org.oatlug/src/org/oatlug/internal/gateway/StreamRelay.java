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
  private EventSplitter splitter = new EventSplitter();

  private StreamRelay(OptionalLong lastEventId) {
    this.lastEventId = lastEventId;
  }

  /** Returns a relay for a caller that already has the events up to the given ID. */
  static StreamRelay after(OptionalLong lastEventId) {
    return new StreamRelay(lastEventId);
  }

  /** Discards the partial event of an interrupted stream, before another upstream continues it. */
  void resetForNextUpstream() {
    splitter = new EventSplitter();
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
