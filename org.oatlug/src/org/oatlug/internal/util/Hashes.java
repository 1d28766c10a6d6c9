// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.util;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.List;

/** Hash functions whose results are the same on every instance. Stateless, thread-safe. */
public final class Hashes {
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

  /** Returns a 64-bit hash of two numbers. */
  public static long combine(long first, long second) {
    return Hashing.murmur3_128().newHasher().putLong(first).putLong(second).hash().asLong();
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
