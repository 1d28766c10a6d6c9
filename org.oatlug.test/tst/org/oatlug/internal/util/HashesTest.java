// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.util;

import static org.testng.Assert.assertEquals;

import com.google.common.hash.Hashing;
import java.util.Random;
import org.testng.annotations.Test;

/**
 * Verifies the written-out hash against the library. Instances of other versions use the library:
 * with another hash they would disagree on the home of a prompt, and prompts would be prefilled
 * twice.
 */
public class HashesTest {
  private static final int PAIRS = 10_000;
  private static final long[] EDGES = {0, 1, -1, Long.MIN_VALUE, Long.MAX_VALUE};

  @Test
  public void testCombinedHashEqualsThatOfTheLibrary() {
    for (long first : EDGES) {
      for (long second : EDGES) {
        assertEquals(Hashes.combine(first, second), byLibrary(first, second));
      }
    }
    Random random = new Random(7);
    for (int pair = 0; pair < PAIRS; pair++) {
      long first = random.nextLong();
      long second = random.nextLong();
      assertEquals(Hashes.combine(first, second), byLibrary(first, second));
    }
  }

  private static long byLibrary(long first, long second) {
    return Hashing.murmur3_128().newHasher().putLong(first).putLong(second).hash().asLong();
  }
}
