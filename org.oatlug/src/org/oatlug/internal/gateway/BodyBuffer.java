// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import io.vertx.core.buffer.Buffer;
import java.util.ArrayList;
import java.util.List;

/**
 * Collects the parts of a body in segments, so that a body that grows is never copied as a whole.
 *
 * <p>Invariant: the capacity of all segments, and what each costs besides, is reserved in {@link
 * BodyMemoryBudget} before it is allocated, until {@link #release}. Used from one event loop.
 */
final class BodyBuffer {
  private static final int MINIMUM_SEGMENT_BYTES = 512;
  private static final int MAXIMUM_SEGMENT_BYTES = 32 * 1024;

  /** The heap that a segment takes besides its bytes: buffer objects and the array header. */
  private static final int SEGMENT_OVERHEAD_BYTES = 128;

  private final BodyMemoryBudget budget;
  private final int uncountedBytes;
  private final List<Buffer> segments = new ArrayList<>();
  private long expectedBytes;
  private long reservedBytes;
  private long allocatedBytes;
  private int lastCapacity;
  private int length;

  private BodyBuffer(BodyMemoryBudget budget, int uncountedBytes) {
    this.budget = budget;
    this.uncountedBytes = uncountedBytes;
  }

  /** Returns an empty buffer whose memory counts in the budget. */
  static BodyBuffer within(BodyMemoryBudget budget) {
    return new BodyBuffer(budget, 0);
  }

  /** Returns an empty buffer whose memory beyond the given bytes counts in the budget. */
  static BodyBuffer within(BodyMemoryBudget budget, int uncountedBytes) {
    return new BodyBuffer(budget, uncountedBytes);
  }

  /** Returns the memory that a body of the given length takes, in bytes. */
  static long memoryFor(long bodyBytes) {
    long count = (bodyBytes + MAXIMUM_SEGMENT_BYTES - 1) / MAXIMUM_SEGMENT_BYTES;
    return bodyBytes + count * SEGMENT_OVERHEAD_BYTES;
  }

  /**
   * Reserves the memory for a body of the given length; returns false and reserves nothing if there
   * is too little. To be called before the first part is appended.
   */
  boolean tryExpect(long bodyBytes) {
    if (!budget.tryReserve(memoryFor(bodyBytes))) {
      return false;
    }
    expectReserved(bodyBytes);
    return true;
  }

  /** Takes over the memory for a body of the given length, which is already reserved. */
  void expectReserved(long bodyBytes) {
    expectedBytes = bodyBytes;
    reservedBytes = memoryFor(bodyBytes);
  }

  /** Appends a part; returns false if there is too little memory for the whole part. */
  boolean tryAppend(Buffer part) {
    int offset = 0;
    while (offset < part.length()) {
      int room = segments.isEmpty() ? 0 : lastCapacity - last().length();
      if (room == 0) {
        if (!tryAddSegment()) {
          return false;
        }
        room = lastCapacity;
      }
      int count = Math.min(room, part.length() - offset);
      last().appendBuffer(part, offset, count);
      offset += count;
      length += count;
    }
    return true;
  }

  private Buffer last() {
    return segments.get(segments.size() - 1);
  }

  private boolean tryAddSegment() {
    int capacity = nextCapacity();
    long missingBytes =
        allocatedBytes + capacity + SEGMENT_OVERHEAD_BYTES - reservedBytes - uncountedBytes;
    if (missingBytes > 0) {
      if (!budget.tryReserve(missingBytes)) {
        return false;
      }
      reservedBytes += missingBytes;
    }
    segments.add(Buffer.buffer(capacity));
    allocatedBytes += capacity + SEGMENT_OVERHEAD_BYTES;
    lastCapacity = capacity;
    return true;
  }

  private int nextCapacity() {
    long expected = expectedBytes - length;
    if (expected > 0) {
      return (int) Math.min(expected, MAXIMUM_SEGMENT_BYTES);
    }
    return Math.min(MAXIMUM_SEGMENT_BYTES, Math.max(MINIMUM_SEGMENT_BYTES, length));
  }

  /** Returns the number of bytes appended so far. */
  int length() {
    return length;
  }

  /** Returns the bytes appended so far; valid until more are appended. */
  Body toBody() {
    return Body.of(segments, length);
  }

  /** Drops the bytes and returns their memory to the budget; may be called again. */
  void release() {
    budget.releaseBytes(reservedBytes);
    reservedBytes = 0;
    allocatedBytes = 0;
    expectedBytes = 0;
    lastCapacity = 0;
    length = 0;
    segments.clear();
  }
}
