// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.session;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.google.common.hash.HashCode;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.Map;
import java.util.TreeMap;
import org.oatlug.errors.SessionTokenInvalidException;
import org.oatlug.internal.util.Json;

/**
 * Signed token, held by the caller, that binds a session to a version per model.
 *
 * <p>Invariant: a token that verifies was signed for its workspace by an instance that had one of
 * the keys. Any instance can verify it without contacting another. Immutable.
 *
 * @param id the id of the session
 * @param workspace the workspace for which it was signed
 * @param versions the bound version per model
 */
public record SessionToken(String id, String workspace, Map<String, String> versions) {
  private static final String SEPARATOR = ".";
  private static final int PART_COUNT = 3;

  /** Returns this session with a model bound to a version; an existing binding is kept. */
  public SessionToken binding(String model, String version) {
    Map<String, String> bound = new TreeMap<>(versions);
    bound.putIfAbsent(model, version);
    return new SessionToken(id, workspace, bound);
  }

  /** Returns the signed token in its text form. */
  public String sign(SessionKeys keys) {
    String payload = encode(toJson());
    String signed = keys.signingKeyId() + SEPARATOR + payload;
    return signed + SEPARATOR + mac(keys.key(keys.signingKeyId()).orElseThrow(), signed);
  }

  /**
   * Parses a signed token and verifies its signature.
   *
   * @throws SessionTokenInvalidException if it is malformed, signed by an unknown key or altered
   */
  public static SessionToken verify(String text, SessionKeys keys)
      throws SessionTokenInvalidException {
    String[] parts = text.split("\\.", -1);
    if (parts.length != PART_COUNT) {
      throw new SessionTokenInvalidException("it has not three parts");
    }
    String key =
        keys.key(parts[0])
            .orElseThrow(() -> new SessionTokenInvalidException("its key is unknown"));
    String signed = parts[0] + SEPARATOR + parts[1];
    byte[] expected = mac(key, signed).getBytes(StandardCharsets.UTF_8);
    byte[] actual = parts[2].getBytes(StandardCharsets.UTF_8);
    if (!java.security.MessageDigest.isEqual(expected, actual)) {
      throw new SessionTokenInvalidException("its signature does not match");
    }
    try {
      byte[] content = Base64.getUrlDecoder().decode(parts[1]);
      return Json.STRICT.readValue(content, SessionToken.class);
    } catch (IllegalArgumentException | java.io.IOException e) {
      throw new SessionTokenInvalidException("its content cannot be read");
    }
  }

  private byte[] toJson() {
    try {
      return Json.STRICT.writeValueAsBytes(this);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException(e);
    }
  }

  private static String encode(byte[] bytes) {
    return Base64.getUrlEncoder().withoutPadding().encodeToString(bytes);
  }

  private static String mac(String key, String text) {
    byte[] secret = key.getBytes(StandardCharsets.UTF_8);
    HashCode code = Hashing.hmacSha256(secret).hashString(text, StandardCharsets.UTF_8);
    return encode(code.asBytes());
  }
}
