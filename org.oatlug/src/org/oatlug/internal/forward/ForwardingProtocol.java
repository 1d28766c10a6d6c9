// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.forward;

import io.vertx.core.MultiMap;
import io.vertx.core.http.HttpMethod;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Base64;
import java.util.Optional;
import org.oatlug.api.Refusal;
import org.oatlug.errors.RequestInvalidException;
import org.oatlug.internal.peer.PeerProof;
import org.oatlug.internal.util.Json;

/**
 * The wire form of requests that instances forward to each other over HTTP.
 *
 * <p>A forwarded request is the caller's request with two more headers: a {@link ForwardedRequest}
 * in MessagePack and Base64, and a proof of the key that the instances share. The proof covers that
 * record, the name of the receiver, the method, the target and the host, but not the body. The
 * response says whether the receiver refused the request itself. Invariant: these headers never
 * reach an upstream or a caller. Immutable, thread-safe.
 */
public final class ForwardingProtocol {
  private static final String FORWARDED = "Oatlug-Forwarded";
  private static final String PROOF = "Oatlug-Proof";
  private static final String OUTCOME = "Oatlug-Outcome";
  private static final String RELAYED = "relayed";
  private static final String REFUSED_PREFIX = "refused ";

  private final PeerProof proof;

  private ForwardingProtocol(PeerProof proof) {
    this.proof = proof;
  }

  /** Returns the protocol of the instances that share the key. */
  public static ForwardingProtocol withKey(String key) {
    return new ForwardingProtocol(PeerProof.withKey(key));
  }

  /**
   * What a forwarded request is addressed to.
   *
   * @param receiver the name of the receiving instance
   * @param method the HTTP method
   * @param uri the path and query
   * @param host the requested host
   */
  public record Target(String receiver, HttpMethod method, String uri, String host) {}

  /** Adds the headers of a forwarded request. */
  public void sign(MultiMap headers, ForwardedRequest forwarded, Target target) {
    try {
      byte[] bytes = Json.MESSAGE_PACK.writeValueAsBytes(forwarded);
      String encoded = Base64.getUrlEncoder().withoutPadding().encodeToString(bytes);
      headers.set(FORWARDED, encoded);
      headers.set(PROOF, proofOf(encoded, target));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /**
   * Reads the record of a forwarded request.
   *
   * @throws RequestInvalidException if it is not from an instance that has the key, or not readable
   */
  public ForwardedRequest verify(MultiMap headers, Target target) throws RequestInvalidException {
    String encoded = headers.get(FORWARDED);
    String received = headers.get(PROOF);
    if (encoded == null || received == null) {
      throw new RequestInvalidException("the request is not forwarded by an instance");
    }
    if (!PeerProof.matches(proofOf(encoded, target), received)) {
      throw new RequestInvalidException("the proof of the shared key is invalid");
    }
    ForwardedRequest forwarded = decode(encoded);
    Optional<String> problem = forwarded.problem();
    if (problem.isPresent()) {
      throw new RequestInvalidException("the forwarded request is invalid: " + problem.get());
    }
    return forwarded;
  }

  private static ForwardedRequest decode(String encoded) throws RequestInvalidException {
    try {
      byte[] bytes = Base64.getUrlDecoder().decode(encoded);
      return Json.MESSAGE_PACK.readValue(bytes, ForwardedRequest.class);
    } catch (IOException | IllegalArgumentException e) {
      throw new RequestInvalidException("the forwarded request cannot be decoded");
    }
  }

  private String proofOf(String encoded, Target target) {
    return proof.ofForwardedRequest(
        target.receiver(), target.method().name(), target.uri(), target.host(), encoded);
  }

  /** Marks a response as that of an upstream. */
  public static void markRelayed(MultiMap headers) {
    headers.set(OUTCOME, RELAYED);
  }

  /** Marks a response as a refusal by the receiver. */
  public static void markRefused(MultiMap headers, Refusal refusal) {
    headers.set(OUTCOME, REFUSED_PREFIX + refusal.reason().name() + " " + refusal.notRun().name());
  }

  /** Returns the outcome that a response states, empty if it is not from an instance. */
  public static Optional<ForwardingOutcome> outcome(MultiMap headers) {
    String text = headers.get(OUTCOME);
    if (text == null) {
      return Optional.empty();
    }
    return text.startsWith(REFUSED_PREFIX)
        ? ForwardingOutcome.parseRefused(text.substring(REFUSED_PREFIX.length()))
        : Optional.of(ForwardingOutcome.RELAYED);
  }

  /** Removes the headers of this protocol. */
  public static MultiMap without(MultiMap headers) {
    return headers.remove(FORWARDED).remove(PROOF).remove(OUTCOME);
  }
}
