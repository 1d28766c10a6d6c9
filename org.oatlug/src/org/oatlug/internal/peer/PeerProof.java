// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.peer;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;

/**
 * Computes the HMAC by which a peer proves that it has the shared key.
 *
 * <p>The proof of each side covers both nonces and its own role, so that it cannot be replayed or
 * reflected. Immutable, thread-safe.
 */
public final class PeerProof {
  /** Created once: looking up the algorithm and scheduling the key take longer than a proof. */
  private final HashFunction hmac;

  private PeerProof(HashFunction hmac) {
    this.hmac = hmac;
  }

  /** Returns the proofs of a key. */
  public static PeerProof withKey(String key) {
    return new PeerProof(Hashing.hmacSha256(key.getBytes(StandardCharsets.UTF_8)));
  }

  String ofCaller(String acceptorNonce, String callerNonce, Member caller) {
    return mac("caller", acceptorNonce, callerNonce, caller.toString());
  }

  String ofAcceptor(String acceptorNonce, String callerNonce, Member acceptor) {
    return mac("acceptor", acceptorNonce, callerNonce, acceptor.toString());
  }

  /** Returns the proof of a request that an instance forwards, over the given parts. */
  public String ofForwardedRequest(String... parts) {
    return mac("forward", String.join("\n", parts));
  }

  /** Compares proofs in constant time. */
  public static boolean matches(String expected, String received) {
    byte[] expectedBytes = expected.getBytes(StandardCharsets.UTF_8);
    byte[] receivedBytes = received.getBytes(StandardCharsets.UTF_8);
    return MessageDigest.isEqual(expectedBytes, receivedBytes);
  }

  private String mac(String... parts) {
    String text = String.join("\n", parts);
    return hmac.hashString(text, StandardCharsets.UTF_8).toString();
  }
}
