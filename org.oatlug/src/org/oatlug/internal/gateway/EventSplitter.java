// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

/**
 * Cuts the bytes of an event stream into whole events.
 *
 * <p>Invariant: the events returned, one after the other, are the bytes taken in up to the end of
 * the last whole event; what follows is kept until it is whole. Used from one event loop.
 */
public final class EventSplitter {
  private static final byte LINE_FEED = '\n';
  private static final byte CARRIAGE_RETURN = '\r';
  private static final String ID_FIELD = "id:";

  private Buffer rest = Buffer.buffer();
  private int scanned;

  /**
   * One whole event.
   *
   * @param bytes its bytes with the empty line that ends it
   * @param id its number, empty if it has none
   */
  public record Event(Buffer bytes, OptionalLong id) {}

  /** Takes bytes in and returns the events that became whole. */
  public List<Event> add(Buffer bytes) {
    rest.appendBuffer(bytes);
    List<Event> events = new ArrayList<>();
    int start = 0;
    int index = scanned;
    while (index < rest.length()) {
      int end = eventEnd(index, start);
      if (end > 0) {
        Buffer whole = rest.getBuffer(start, end);
        events.add(new Event(whole, idOf(whole)));
        start = end;
        index = end;
      } else {
        index++;
      }
    }
    if (start > 0) {
      rest = rest.getBuffer(start, rest.length());
    }
    scanned = Math.max(0, rest.length() - 1);
    return events;
  }

  /** Returns whether bytes of an event that is not whole are left. */
  public boolean hasRest() {
    return rest.length() > 0;
  }

  /** Returns the end of the event if an empty line ends at {@code index}, or 0. */
  private int eventEnd(int index, int start) {
    if (rest.getByte(index) != LINE_FEED || index == start) {
      return 0;
    }
    int before = index - 1;
    if (rest.getByte(before) == CARRIAGE_RETURN) {
      before--;
    }
    boolean emptyLine = before >= start && rest.getByte(before) == LINE_FEED;
    return emptyLine ? index + 1 : 0;
  }

  private static OptionalLong idOf(Buffer event) {
    for (String line : event.toString(StandardCharsets.UTF_8).split("\r?\n")) {
      if (line.startsWith(ID_FIELD)) {
        return number(line.substring(ID_FIELD.length()).trim());
      }
    }
    return OptionalLong.empty();
  }

  private static OptionalLong number(String text) {
    try {
      return OptionalLong.of(Long.parseLong(text));
    } catch (NumberFormatException e) {
      return OptionalLong.empty();
    }
  }
}
