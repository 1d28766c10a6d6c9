// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.util;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.List;

/** Hash functions whose results are the same on every instance. Stateless, thread-safe. */
public final class Hashes {
  private static final long MURMUR_C1 = 0x87c37b91114253d5L;
  private static final long MURMUR_C2 = 0x4cf5ad432745937fL;

  /** The length of two numbers, which is part of their hash. */
  private static final int COMBINED_BYTES = 2 * Long.BYTES;

  private Hashes() {}

  /** Member with its hash, which is computed once instead of at each comparison. */
  private record Ranked(long hash, String member) {}

  /** Returns the SHA-256 of {@code text} as hexadecimal text. */
  public static String sha256(String text) {
    return Hashing.sha256().hashString(text, StandardCharsets.UTF_8).toString();
  }

  /** Returns a 64-bit hash of the parts. */
  public static long hash64(String... parts) {
    String joined = String.join("\n", parts);
    return Hashing.murmur3_128().hashString(joined, StandardCharsets.UTF_8).asLong();
  }

  /**
   * Returns a 64-bit hash of two numbers: the first half of their MurmurHash3_x64_128 with seed 0,
   * as the hash function of Guava computes it. Written out, because a request takes one for each
   * upstream, and the hasher allocates buffers for each.
   */
  public static long combine(long first, long second) {
    long low = Long.rotateLeft(first * MURMUR_C1, 31) * MURMUR_C2;
    low = Long.rotateLeft(low, 27) * 5 + 0x52dce729;
    long high = Long.rotateLeft(second * MURMUR_C2, 33) * MURMUR_C1;
    high = (Long.rotateLeft(high, 31) + low) * 5 + 0x38495ab5;
    low ^= COMBINED_BYTES;
    high ^= COMBINED_BYTES;
    low += high;
    high += low;
    return finalMix(low) + finalMix(high);
  }

  private static long finalMix(long value) {
    long mixed = (value ^ value >>> 33) * 0xff51afd7ed558ccdL;
    mixed = (mixed ^ mixed >>> 33) * 0xc4ceb9fe1a85ec53L;
    return mixed ^ mixed >>> 33;
  }

  /** Returns the members in rendezvous order for {@code subject}, lowest hash first. */
  public static List<String> rendezvous(String subject, List<String> members) {
    return members.stream()
        .map(member -> new Ranked(hash64(subject, member), member))
        .sorted(Comparator.comparingLong(Ranked::hash).thenComparing(Ranked::member))
        .map(Ranked::member)
        .toList();
  }
}
