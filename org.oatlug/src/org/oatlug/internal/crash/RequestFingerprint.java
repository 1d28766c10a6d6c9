// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.crash;

import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import com.google.common.io.BaseEncoding;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Tells a request that its caller sends again from all others, at every instance alike.
 *
 * <p>It covers host, path with query, workspace and body; not the id, the deadline, the session or
 * the other headers, which change with each try. 128 bits of SHA-256 are enough that nobody can
 * make another caller's request look the same. Stateless, thread-safe.
 */
public final class RequestFingerprint {
  private static final int BYTES = 16;

  /** The length of a fingerprint in characters. */
  static final int LENGTH = 2 * BYTES;

  private RequestFingerprint() {}

  /**
   * Returns the fingerprint of a request, in hexadecimal.
   *
   * @param workspace the workspace of the caller, empty on a route open to all
   */
  public static String of(String host, String uri, String workspace, byte[] body) {
    Hasher hasher = Hashing.sha256().newHasher();
    for (String part : new String[] {host, uri, workspace}) {
      byte[] bytes = part.getBytes(StandardCharsets.UTF_8);
      hasher.putInt(bytes.length).putBytes(bytes);
    }
    byte[] hash = hasher.putBytes(body).hash().asBytes();
    return BaseEncoding.base16().lowerCase().encode(Arrays.copyOf(hash, BYTES));
  }
}
