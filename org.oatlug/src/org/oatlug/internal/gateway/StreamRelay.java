// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import io.vertx.core.buffer.Buffer;
import java.util.OptionalLong;

/**
 * The events of one answer, over all upstreams that give parts of it.
 *
 * <p>Invariant: the events handed on have ascending numbers, each number at most once; an event
 * that was handed on before is dropped. Used from one event loop.
 */
final class StreamRelay {
  private OptionalLong last;
  private long events;
  private EventSplitter splitter = new EventSplitter();

  private StreamRelay(OptionalLong last) {
    this.last = last;
  }

  /** Returns a relay of a stream whose caller has the events up to {@code last}. */
  static StreamRelay after(OptionalLong last) {
    return new StreamRelay(last);
  }

  /** Forgets the unfinished event of an upstream that broke off; another one goes on. */
  void nextUpstream() {
    splitter = new EventSplitter();
  }

  /** Returns the bytes of the events that became whole and were not handed on before. */
  Buffer take(Buffer data) {
    Buffer fresh = Buffer.buffer();
    for (EventSplitter.Event event : splitter.add(data)) {
      boolean known =
          event.id().isPresent() && last.isPresent() && event.id().getAsLong() <= last.getAsLong();
      if (!known) {
        fresh.appendBuffer(event.bytes());
        events++;
        last = event.id().isPresent() ? event.id() : last;
      }
    }
    return fresh;
  }

  /** Returns whether the upstream ended inside an event. */
  boolean endsInsideEvent() {
    return splitter.hasRest();
  }

  /** Returns the number of the last event that was handed on. */
  OptionalLong last() {
    return last;
  }

  /** Returns how many events were handed on. */
  long events() {
    return events;
  }
}
