// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.crash;

import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import com.google.common.io.BaseEncoding;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;

/**
 * Identifies a request across the retries of its caller, or a part of prompts that many requests
 * share, equally on every instance.
 *
 * <p>The fingerprint covers host, path with query, workspace and body, but not the id, the
 * deadline, the session or other headers, which change with each try. 128 bits of SHA-256 keep a
 * caller from forging the fingerprint of another caller's request. Stateless, thread-safe.
 */
public final class RequestFingerprint {
  private static final int BYTES = 16;

  /** The length of a fingerprint in characters. */
  static final int LENGTH = 2 * BYTES;

  /** Begins the fingerprints of prompt parts; no hash of a request begins like this. */
  private static final String PART_PREFIX = "0".repeat(LENGTH / 2);

  private RequestFingerprint() {}

  /** Returns the fingerprint of a prompt part, which ends with its hash in hexadecimal. */
  public static String ofPart(long hash) {
    return PART_PREFIX + String.format("%016x", hash);
  }

  /** Returns whether the fingerprint is that of a prompt part. */
  static boolean isPart(String fingerprint) {
    return fingerprint.startsWith(PART_PREFIX);
  }

  /** Returns the first 64 bits of a fingerprint. */
  public static long shortened(String fingerprint) {
    return Long.parseUnsignedLong(fingerprint.substring(0, LENGTH / 2), 16);
  }

  /**
   * Returns the fingerprint of a request, in hexadecimal.
   *
   * @param workspace the workspace of the caller, empty on a public route
   */
  public static String of(String host, String uri, String workspace, byte[] body) {
    return of(host, uri, workspace, List.of(ByteBuffer.wrap(body)));
  }

  /**
   * Returns the fingerprint of a request, in hexadecimal.
   *
   * @param workspace the workspace of the caller, empty on a public route
   * @param body the body, in any number of segments
   */
  public static String of(String host, String uri, String workspace, List<ByteBuffer> body) {
    Hasher hasher = Hashing.sha256().newHasher();
    for (String part : new String[] {host, uri, workspace}) {
      byte[] bytes = part.getBytes(StandardCharsets.UTF_8);
      hasher.putInt(bytes.length).putBytes(bytes);
    }
    body.forEach(segment -> hasher.putBytes(segment.duplicate()));
    byte[] hash = hasher.hash().asBytes();
    return BaseEncoding.base16().lowerCase().encode(Arrays.copyOf(hash, BYTES));
  }
}
