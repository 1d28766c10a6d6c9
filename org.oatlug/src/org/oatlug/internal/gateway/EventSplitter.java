// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

/**
 * Splits the bytes of an event stream into complete events.
 *
 * <p>Invariant: the returned events, concatenated, are the bytes added up to the end of the last
 * complete event; the bytes after it are kept until their event is complete. They are bounded: what
 * exceeds the maximum of an event or the memory for bodies is dropped with its event, and no
 * further event is returned. Used from one event loop.
 */
final class EventSplitter {
  /** The maximum length of an event: far more than a batch of tokens takes. */
  static final int MAXIMUM_EVENT_BYTES = 1024 * 1024;

  /** A partial event up to this length is within the buffers that each connection has. */
  private static final int UNCOUNTED_BYTES = 4096;

  private static final byte LINE_FEED = '\n';
  private static final byte CARRIAGE_RETURN = '\r';
  private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);

  private final BodyBuffer pending;
  private LineState state = LineState.IN_LINE;
  private boolean exceeded;

  /** The position of the scan within the lines of the current event. */
  private enum LineState {
    IN_LINE,
    AFTER_LINE_FEED,
    /** A carriage return after a line feed, which may begin the empty line. */
    AFTER_CARRIAGE_RETURN
  }

  private EventSplitter(BodyMemoryBudget budget) {
    this.pending = BodyBuffer.within(budget, UNCOUNTED_BYTES);
  }

  /** Returns a splitter that keeps partial events within the budget. */
  static EventSplitter create(BodyMemoryBudget budget) {
    return new EventSplitter(budget);
  }

  /**
   * A complete event.
   *
   * @param bytes its bytes, including the empty line that ends it
   * @param id its ID, empty if it has no numeric one
   */
  record Event(Buffer bytes, OptionalLong id) {}

  /** Adds bytes and returns the events that are now complete. */
  List<Event> add(Buffer bytes) {
    List<Event> events = new ArrayList<>();
    int start = 0;
    for (int index = 0; index < bytes.length() && !exceeded; index++) {
      if (endsEvent(bytes.getByte(index))) {
        Buffer event = completeEvent(bytes.slice(start, index + 1));
        events.add(new Event(event, idOf(event)));
        start = index + 1;
      }
    }
    if (!exceeded && start < bytes.length()) {
      keep(bytes.slice(start, bytes.length()));
    }
    return events;
  }

  /** Returns whether the byte is the end of an empty line that ends the current event. */
  private boolean endsEvent(byte next) {
    if (next == LINE_FEED) {
      boolean emptyLine = state != LineState.IN_LINE;
      state = emptyLine ? LineState.IN_LINE : LineState.AFTER_LINE_FEED;
      return emptyLine;
    }
    boolean mayBeEmpty = next == CARRIAGE_RETURN && state == LineState.AFTER_LINE_FEED;
    state = mayBeEmpty ? LineState.AFTER_CARRIAGE_RETURN : LineState.IN_LINE;
    return false;
  }

  private Buffer completeEvent(Buffer end) {
    if (pending.length() == 0) {
      return end;
    }
    Buffer event = Buffer.buffer(pending.length() + end.length());
    pending.toBody().segments().forEach(event::appendBuffer);
    pending.release();
    return event.appendBuffer(end);
  }

  private void keep(Buffer part) {
    boolean fits = pending.length() + part.length() <= MAXIMUM_EVENT_BYTES;
    if (!fits || !pending.tryAppend(part)) {
      exceeded = true;
      pending.release();
    }
  }

  /** Returns whether an event was dropped because it exceeded its maximum or the memory. */
  boolean hasExceeded() {
    return exceeded;
  }

  /** Returns whether bytes of an incomplete event are pending. */
  boolean hasPartialEvent() {
    return exceeded || pending.length() > 0;
  }

  /** Drops the partial event and returns its memory. */
  void release() {
    pending.release();
  }

  private static OptionalLong idOf(Buffer event) {
    int start = 0;
    while (start < event.length()) {
      int end = start;
      while (end < event.length() && event.getByte(end) != LINE_FEED) {
        end++;
      }
      if (hasIdField(event, start, end)) {
        return parseId(
            event.getString(start + ID_FIELD.length, end, StandardCharsets.UTF_8.name()).trim());
      }
      start = end + 1;
    }
    return OptionalLong.empty();
  }

  private static boolean hasIdField(Buffer event, int start, int end) {
    for (int index = 0; index < ID_FIELD.length; index++) {
      if (start + index >= end || event.getByte(start + index) != ID_FIELD[index]) {
        return false;
      }
    }
    return true;
  }

  private static OptionalLong parseId(String text) {
    try {
      return OptionalLong.of(Long.parseLong(text));
    } catch (NumberFormatException e) {
      return OptionalLong.empty();
    }
  }
}
