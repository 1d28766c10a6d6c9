// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.vertx.core.buffer.Buffer;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.Test;

/**
 * Guards against a limit of body memory that does not bound what is held, that leaks, or that
 * grants more than it has after a request has failed.
 */
public class BodyMemoryTest {
  private static final int MAXIMUM_BYTES = 4 * 1024 * 1024;
  private static final int SEEDS = 50;
  private static final int STEPS = 300;
  private static final int LARGEST_BODY = 1_500_000;

  private static byte[] bytes(Random random, int count) {
    byte[] bytes = new byte[count];
    random.nextBytes(bytes);
    return bytes;
  }

  private static byte[] content(Body body) {
    ByteBuffer all = ByteBuffer.allocate(body.length());
    body.byteBuffers().forEach(all::put);
    return all.array();
  }

  /** Appends a body in random parts; returns whether it fitted. */
  private static boolean append(BodyBuffer buffer, byte[] bytes, Random random) {
    int offset = 0;
    while (offset < bytes.length) {
      int count = Math.min(bytes.length - offset, 1 + random.nextInt(70_000));
      if (!buffer.tryAppend(Buffer.buffer().appendBytes(bytes, offset, count))) {
        return false;
      }
      offset += count;
    }
    return true;
  }

  @Test
  public void testHeldSegmentsAreReservedAndReturned() {
    for (int seed = 0; seed < SEEDS; seed++) {
      Random random = new Random(seed);
      BodyMemoryBudget budget = BodyMemoryBudget.within(MAXIMUM_BYTES);
      List<BodyBuffer> open = new ArrayList<>();
      for (int step = 0; step < STEPS; step++) {
        if (!open.isEmpty() && random.nextInt(3) == 0) {
          BodyBuffer ended = open.remove(random.nextInt(open.size()));
          ended.release();
          ended.release();
        }
        byte[] bytes = bytes(random, random.nextInt(random.nextInt(LARGEST_BODY) + 1));
        BodyBuffer buffer = BodyBuffer.within(budget);
        boolean declared = random.nextBoolean();
        if (declared && !buffer.tryExpect(bytes.length)) {
          continue;
        }
        open.add(buffer);
        boolean fits = append(buffer, bytes, random);
        assertTrue(fits || !declared, "a reserved body does not fit");
        if (fits) {
          assertEquals(content(buffer.toBody()), bytes, "seed " + seed);
        }
        long held = open.stream().mapToLong(other -> other.toBody().length()).sum();
        assertTrue(held <= budget.reservedBytes(), "seed " + seed);
        assertTrue(budget.reservedBytes() <= MAXIMUM_BYTES, "seed " + seed);
      }
      open.forEach(BodyBuffer::release);
      assertEquals(budget.reservedBytes(), 0, "seed " + seed);
    }
  }

  @Test
  public void testLargeBodiesWaitInOrderAndLeaveRoomForSmallOnes() {
    BodyMemoryBudget budget = BodyMemoryBudget.within(MAXIMUM_BYTES);
    int large = MAXIMUM_BYTES / 4;
    for (int number = 0; number < 3; number++) {
      assertTrue(budget.tryReserve(large));
    }
    assertFalse(budget.tryReserve(large), "small bodies have no room");
    assertTrue(budget.tryReserve(1000));
    AtomicInteger granted = new AtomicInteger();
    BodyMemoryBudget.Waiting withdrawn =
        new BodyMemoryBudget.Waiting(large, granted::incrementAndGet);
    budget.await(withdrawn);
    budget.await(new BodyMemoryBudget.Waiting(large, () -> granted.addAndGet(10)));
    budget.await(new BodyMemoryBudget.Waiting(large, () -> granted.addAndGet(100)));
    assertTrue(budget.withdraw(withdrawn));
    assertFalse(budget.tryReserve(large), "a later body overtakes those that wait");
    budget.releaseBytes(1000);
    assertEquals(granted.get(), 0);
    budget.releaseBytes(large);
    assertEquals(granted.get(), 10);
    budget.releaseBytes(large);
    assertEquals(granted.get(), 110);
    assertEquals(budget.reservedBytes(), 3 * large);
    assertFalse(budget.mayFitLater(MAXIMUM_BYTES + 1), "a body that never fits must not wait");
  }
}
