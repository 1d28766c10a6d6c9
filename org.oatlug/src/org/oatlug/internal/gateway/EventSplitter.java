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
 * complete event; the bytes after it are kept until their event is complete. Used from one event
 * loop.
 */
public final class EventSplitter {
  private static final byte LINE_FEED = '\n';
  private static final byte CARRIAGE_RETURN = '\r';
  private static final String ID_FIELD = "id:";

  private Buffer pending = Buffer.buffer();
  private int scannedLength;

  /**
   * A complete event.
   *
   * @param bytes its bytes, including the empty line that ends it
   * @param id its ID, empty if it has no numeric one
   */
  public record Event(Buffer bytes, OptionalLong id) {}

  /** Adds bytes and returns the events that are now complete. */
  public List<Event> add(Buffer bytes) {
    pending.appendBuffer(bytes);
    List<Event> events = new ArrayList<>();
    int start = 0;
    int index = scannedLength;
    while (index < pending.length()) {
      int end = eventEnd(index, start);
      if (end > 0) {
        Buffer event = pending.getBuffer(start, end);
        events.add(new Event(event, idOf(event)));
        start = end;
        index = end;
      } else {
        index++;
      }
    }
    if (start > 0) {
      pending = pending.getBuffer(start, pending.length());
    }
    scannedLength = Math.max(0, pending.length() - 1);
    return events;
  }

  /** Returns whether bytes of an incomplete event are pending. */
  public boolean hasPartialEvent() {
    return pending.length() > 0;
  }

  /** Returns the exclusive end of the event if an empty line ends at {@code index}, else 0. */
  private int eventEnd(int index, int start) {
    if (pending.getByte(index) != LINE_FEED || index == start) {
      return 0;
    }
    int previous = index - 1;
    if (pending.getByte(previous) == CARRIAGE_RETURN) {
      previous--;
    }
    boolean emptyLine = previous >= start && pending.getByte(previous) == LINE_FEED;
    return emptyLine ? index + 1 : 0;
  }

  private static OptionalLong idOf(Buffer event) {
    for (String line : event.toString(StandardCharsets.UTF_8).split("\r?\n")) {
      if (line.startsWith(ID_FIELD)) {
        return parseId(line.substring(ID_FIELD.length()).trim());
      }
    }
    return OptionalLong.empty();
  }

  private static OptionalLong parseId(String text) {
    try {
      return OptionalLong.of(Long.parseLong(text));
    } catch (NumberFormatException e) {
      return OptionalLong.empty();
    }
  }
}
